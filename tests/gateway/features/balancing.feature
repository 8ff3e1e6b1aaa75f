Feature: Load balancing
  A request is sent to another instance only if the rules allow it, and it gets exactly one response.

  Scenario Outline: a request with every sequence of attempt outcomes
    Then a request that is <kind> with <max_attempts> attempts ends as a reference implementation says, for all outcomes

    Examples:
      | kind   | max_attempts |
      | safe   | 1            |
      | safe   | 2            |
      | safe   | 3            |
      | unsafe | 1            |
      | unsafe | 2            |
      | unsafe | 3            |

  Scenario Outline: a request whose attempts overlap, hang and end late keeps its guarantees
    Then a request that is <kind> keeps its guarantees in 3000 random runs

    Examples:
      | kind   |
      | safe   |
      | unsafe |

  Scenario: a proxy never chooses an instance that it may not choose
    Then a proxy that receives updates in any order chooses only instances that a reference list allows, in 200 random histories

  Scenario: a proxy spreads load evenly over equal instances
    Then a proxy spreads 4000 requests over 8 equal instances to within 20 percent

  Scenario: a proxy ejects a failing instance, and uses it again after a response
    Then a proxy has at most one request in flight to an ejected instance until it responds

  Scenario: a proxy reads only well-formed load reports
    Then a proxy reads the load report "3,1,8" as 4.0
    And a proxy reads the load report "²,0,8" as nothing
    And a proxy reads the load report "3,1" as nothing
    And a proxy reads the load report "-3,1,8" as nothing
    And a proxy reads the load report "999999999999,1,8" as nothing

  Scenario: a proxy learns from an abandoned attempt that the response would have taken longer
    Then an attempt that is abandoned late raises the estimate of its instance, and one that is abandoned early changes nothing
