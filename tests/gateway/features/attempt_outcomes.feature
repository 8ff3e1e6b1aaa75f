Feature: Attempt outcomes
  Each client gets its own response, and no request that is not idempotent runs twice.
  The decision table is checked, and so is the real proxy in a simulation of interleavings.

  Scenario: the code matches the table of docs/attempt-outcomes.md
    Then each row of the page's table matches the decision of the code, and no row is missing

  Scenario: complete responses are classified by attempt id, X-Not-Executed, seal and framing
    Then responses of all kinds are classified as a reference implementation does

  Scenario Outline: interleavings of <first> and <second> requests to <instances> instances with one fault
    Then the proxy keeps every rule in all interleavings of <first> and <second> requests to <instances> instances with 1 fault

    Examples:
      | first  | second       | instances |
      | safe   | unsafe       | 1         |
      | safe   | unsafe       | 2         |
      | unsafe | unsafe       | 1         |
      | unsafe | unsafe       | 2         |
      | safe   | safe         | 2         |
      | safe   | unsafe, late | 1         |
      | unsafe | unsafe, late | 2         |

  Scenario Outline: interleavings with two faults
    Then the proxy keeps every rule in one of every <every> interleavings of <first> and <second> requests to <instances> instances with 2 faults

    Examples:
      | first  | second       | instances | every |
      | safe   | unsafe       | 2         | 130   |
      | unsafe | unsafe       | 1         | 70    |
      | unsafe | unsafe, late | 1         | 70    |

  Scenario Outline: a proxy that <mutant> is detected
    Then a proxy that <mutant> violates <rule> in an interleaving of <first> and <second> requests to <instances> instances with <faults> faults

    Examples:
      | mutant                                                  | rule    | first  | second       | instances | faults |
      | retries after a reset of a partly written request       | REFUSED | unsafe | unsafe       | 1         | 2      |
      | retries after a reset of a fully written request        | TWICE   | unsafe | unsafe       | 2         | 1      |
      | reuses a connection with a surplus byte                 | MIXED   | unsafe | unsafe       | 1         | 1      |
      | parses data on an idle connection                       | MIXED   | unsafe | unsafe, late | 1         | 1      |
      | matches responses to requests by order alone            | MIXED   | safe   | unsafe       | 2         | 1      |
      | trusts a response without an id                         | TWICE   | unsafe | unsafe       | 1         | 1      |
      | sends an attempt id twice on one connection             | MIXED   | unsafe | unsafe       | 1         | 2      |
      | accepts a truncated response as complete                | MIXED   | safe   | unsafe       | 2         | 1      |
      | sends a rejection without proof                         | REFUSED | unsafe | unsafe       | 2         | 1      |
      | sends on a new connection without checking the instance | DRAIN   | safe   | unsafe       | 2         | 1      |
      | ignores that a client closed its connection             | GONE    | safe   | unsafe       | 2         | 1      |
      | lets the attempts of a client that left continue        | GONE    | safe   | unsafe       | 2         | 1      |

  Scenario: random interleavings, with data split at random positions
    Then the proxy keeps every rule in 400 interleavings that hypothesis draws, with data split at random positions
