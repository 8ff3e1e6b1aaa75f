Feature: Attempt outcomes
  The right response to the right client, and nothing unsafe twice: the table, and the real proxy in a simulation of interleavings.

  Scenario: the table of docs/attempt-outcomes.md is the code's
    Then each row of the page's table says what the code decides, and none is missing

  Scenario: complete responses are told apart by id, claim, stamp and length
    Then a response is taken for what a plain list of rules says, over all kinds of them

  Scenario Outline: interleavings of <first> and <second> requests before <many> instances, with one fault anywhere
    Then the proxy keeps every rule in all interleavings of <first> and <second> requests before <many> instances with 1 fault

    Examples:
      | first  | second       | many |
      | safe   | unsafe       | 1    |
      | safe   | unsafe       | 2    |
      | unsafe | unsafe       | 1    |
      | unsafe | unsafe       | 2    |
      | safe   | safe         | 2    |
      | safe   | unsafe, late | 1    |
      | unsafe | unsafe, late | 2    |

  Scenario Outline: interleavings with two faults
    Then the proxy keeps every rule in one of <every> interleavings of <first> and <second> requests before <many> instances with 2

    Examples:
      | first  | second       | many | every |
      | safe   | unsafe       | 2    | 130   |
      | unsafe | unsafe       | 1    | 70    |
      | unsafe | unsafe, late | 1    | 70    |

  Scenario Outline: a proxy that <mutant> is found
    Then a proxy that <mutant> breaks <rule> in an interleaving of <first> and <second> requests before <many> instances with <faults>

    Examples:
      | mutant                                              | rule    | first  | second       | many | faults   |
      | sends again after a reset of a half written request | REFUSED | unsafe | unsafe       | 1    | 2        |
      | sends again after a reset of a whole request        | TWICE   | unsafe | unsafe       | 2    | 1        |
      | uses a connection with a surplus byte               | MIXED   | unsafe | unsafe       | 1    | 1        |
      | reads on while a connection rests                   | MIXED   | unsafe | unsafe, late | 1    | 1        |
      | answers by order alone                              | MIXED   | safe   | unsafe       | 2    | 1        |
      | believes a word without id                          | TWICE   | unsafe | unsafe       | 1    | 1        |
      | puts one id on a connection again                   | MIXED   | unsafe | unsafe       | 1    | 2        |
      | takes a cut answer for whole                        | MIXED   | safe   | unsafe       | 2    | 1        |
      | promises by hope                                    | REFUSED | unsafe | unsafe       | 2    | 1        |
      | skips the gate before a new connection's send       | DRAIN   | safe   | unsafe       | 2    | 1        |
      | takes a client's end for a pause                    | GONE    | safe   | unsafe       | 2    | 1        |
      | lets the runs of a client that left go on           | GONE    | safe   | unsafe       | 2    | 1        |

  Scenario: interleavings drawn by chance, their bytes cut anywhere
    Then the proxy keeps every rule in 400 interleavings that hypothesis draws, with bytes cut anywhere
