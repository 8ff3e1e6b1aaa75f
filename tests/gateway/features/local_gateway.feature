Feature: stand-in instances of the local gateway behave like instances of a platform

  Background:
    Given a local instance with 1 slot, a queue of 1, at most 6 connections, and work of 100 ms

  Scenario Outline: a local instance answers <what>
    When a local instance gets the request "<ask>"
    Then a local instance answers <status> with headers "<has>" and without "<not>"

    Examples:
      | what                        | ask                                                     | status | has                                             | not            |
      | a request                   | GET /a x-attempt-id=7                                   | 200    | X-Attempt-Id X-Server-Seal X-Load-Level Keep-Alive | X-Not-Executed |
      | one addressed to it         | GET /a x-attempt-id=7 x-target-instance=i-1             | 200    | X-Server-Seal                                   | X-Not-Executed |
      | one for another instance     | GET /a x-attempt-id=7 x-target-instance=i-2             | 421    | X-Not-Executed X-Attempt-Id                     | X-Server-Seal  |
      | one without an id           | GET /a                                                  | 400    | X-Not-Executed                                  | X-Attempt-Id   |
      | one with too little time left   | GET /a x-attempt-id=7 x-time-remaining=20               | 504    | X-Attempt-Id                                    | X-Not-Executed |
      | its probe                   | GET /health                                             | 200    | X-Instance X-Load-Level                         | X-Not-Executed |

  Scenario: a local instance rejects requests beyond its slots and queue
    When a local instance gets the request "GET /a x-attempt-id=7" from 3 clients at once
    Then a local instance answered "200 200 503"
    And a local instance marks each 503 as not executed
    When a local instance gets the request "GET /a x-attempt-id=7 x-time-remaining=60" from 2 clients at once
    Then a local instance answered "503 504"
    And a local instance marks each 503 as not executed

  Scenario: a local instance drops the request of a client that disconnects
    When a local instance gets the request "GET /a x-attempt-id=7" from a client that disconnects
    Then a local instance has executed 0 requests and has all its slots free

  Scenario: a local instance resets connections beyond its limit
    When 7 connections to a local instance are opened
    Then a local instance keeps 6 of them

  Scenario: a local instance reports that it is ready, drains and leaves
    Then a local instance has reported "ready 1"
    When a local instance drains, and gets a request meanwhile
    Then a local instance answered "200" and closed the connection
    And a local instance has reported "ready 1, draining 2, leave"
    And a local instance no longer listens
