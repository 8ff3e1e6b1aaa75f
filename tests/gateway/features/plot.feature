Feature: the plot's machines speak as the platform's

  Background:
    Given a plot machine with 1 slot, a queue of 1, room for 6 connections, and work of 100 ms

  Scenario Outline: a plot machine answers <what>
    When a plot machine is asked "<ask>"
    Then a plot machine answers <status> with headers "<has>" and without "<not>"

    Examples:
      | what                        | ask                                                     | status | has                                             | not            |
      | a request                   | GET /a x-attempt-id=7                                   | 200    | X-Attempt-Id X-Server-Seal X-Load-Level Keep-Alive | X-Not-Executed |
      | one that names it           | GET /a x-attempt-id=7 x-target-instance=i-1             | 200    | X-Server-Seal                                   | X-Not-Executed |
      | one for another machine     | GET /a x-attempt-id=7 x-target-instance=i-2             | 421    | X-Not-Executed X-Attempt-Id                     | X-Server-Seal  |
      | one without an id           | GET /a                                                  | 400    | X-Not-Executed                                  | X-Attempt-Id   |
      | one that it cannot make     | GET /a x-attempt-id=7 x-time-remaining=20               | 504    | X-Attempt-Id                                    | X-Not-Executed |
      | its probe                   | GET /health                                             | 200    | X-Instance X-Load-Level                         | X-Not-Executed |

  Scenario: a plot machine turns away what it has no room for
    When a plot machine is asked "GET /a x-attempt-id=7" by 3 at once
    Then a plot machine answered "200 200 503"
    And a plot machine says of each 503 that it has not run
    When a plot machine is asked "GET /a x-attempt-id=7 x-time-remaining=60" by 2 at once
    Then a plot machine answered "503 504"
    And a plot machine says of each 503 that it has not run

  Scenario: a plot machine drops what a client that goes away has asked
    When a plot machine is asked "GET /a x-attempt-id=7" by a client that goes away
    Then a plot machine has run 0 and has all its slots

  Scenario: a plot machine resets connections beyond its room
    When a plot machine is met by 7 connections
    Then a plot machine keeps 6 of them

  Scenario: a plot machine says that it is there, drains and leaves
    Then a plot machine has said "ready 1"
    When a plot machine drains, and is asked meanwhile
    Then a plot machine answered "200" and closed behind it
    And a plot machine has said "ready 1, draining 2, leave"
    And a plot machine is gone
