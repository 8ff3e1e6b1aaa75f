Feature: the local gateway's instances speak as the platform's

  Background:
    Given a local instance with 1 slot, a queue of 1, room for 6 connections, and work of 100 ms

  Scenario Outline: a local instance answers <what>
    When a local instance is asked "<ask>"
    Then a local instance answers <status> with headers "<has>" and without "<not>"

    Examples:
      | what                        | ask                                                     | status | has                                             | not            |
      | a request                   | GET /a x-attempt-id=7                                   | 200    | X-Attempt-Id X-Server-Seal X-Load-Level Keep-Alive | X-Not-Executed |
      | one that names it           | GET /a x-attempt-id=7 x-target-instance=i-1             | 200    | X-Server-Seal                                   | X-Not-Executed |
      | one for another instance     | GET /a x-attempt-id=7 x-target-instance=i-2             | 421    | X-Not-Executed X-Attempt-Id                     | X-Server-Seal  |
      | one without an id           | GET /a                                                  | 400    | X-Not-Executed                                  | X-Attempt-Id   |
      | one that it has no time for     | GET /a x-attempt-id=7 x-time-remaining=20               | 504    | X-Attempt-Id                                    | X-Not-Executed |
      | its probe                   | GET /health                                             | 200    | X-Instance X-Load-Level                         | X-Not-Executed |

  Scenario: a local instance rejects what it has no room for
    When a local instance is asked "GET /a x-attempt-id=7" by 3 at once
    Then a local instance answered "200 200 503"
    And a local instance says of each 503 that it has not run
    When a local instance is asked "GET /a x-attempt-id=7 x-time-remaining=60" by 2 at once
    Then a local instance answered "503 504"
    And a local instance says of each 503 that it has not run

  Scenario: a local instance drops what a client that goes away has asked
    When a local instance is asked "GET /a x-attempt-id=7" by a client that goes away
    Then a local instance has run 0 and has all its slots

  Scenario: a local instance resets connections beyond its room
    When a local instance is met by 7 connections
    Then a local instance keeps 6 of them

  Scenario: a local instance says that it is there, drains and leaves
    Then a local instance has said "ready 1"
    When a local instance drains, and is asked meanwhile
    Then a local instance answered "200" and closed behind it
    And a local instance has said "ready 1, draining 2, leave"
    And a local instance is gone
