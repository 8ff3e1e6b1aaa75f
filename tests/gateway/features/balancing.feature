Feature: Load balancing
  A request goes on to another machine only where the rules let it, and gets one answer.

  Scenario Outline: a request meets every row of outcomes
    Then a request that is <kind> with <tries> tries ends as the plain rules say, whatever its outcomes

    Examples:
      | kind   | tries |
      | safe   | 1     |
      | safe   | 2     |
      | safe   | 3     |
      | unsafe | 1     |
      | unsafe | 2     |
      | unsafe | 3     |

  Scenario Outline: a request whose attempts overlap, hang and come late keeps its promises
    Then a request that is <kind> keeps its promises over 3000 courses drawn by chance

    Examples:
      | kind   |
      | safe   |
      | unsafe |

  Scenario: a proxy never chooses machines that it may not
    Then a proxy told news in any order chooses only among machines that a plain list allows, over 200 histories

  Scenario: a proxy that loads equal machines loads them alike
    Then a proxy spreads 4000 requests over 8 equal machines to within 20 of a hundred

  Scenario: a proxy leaves a machine that fails alone, and takes it up again
    Then a proxy sends a machine in a row of failures one request at a time at the most until it answers

  Scenario: a proxy reads only whole figures of a machine's load
    Then a proxy takes the load "3,1,8" for 4.0
    And a proxy takes the load "²,0,8" for nothing
    And a proxy takes the load "3,1" for nothing
    And a proxy takes the load "-3,1,8" for nothing
    And a proxy takes the load "999999999999,1,8" for nothing

  Scenario: a proxy learns from a wait that it gave up that the response would have taken longer
    Then an attempt that is abandoned late makes its machine slower for the choice, and one that is abandoned early changes nothing
