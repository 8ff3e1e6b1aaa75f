Feature: Distribution of updates
  A subscriber ends with the newest state of all members and never goes back to an older state, whatever
  messages are lost or late.

  Scenario Outline: a subscriber with <fault>
    Then a subscriber with <fault> converges and never goes back, in <count> random histories

    Examples:
      | fault                   | count |
      | no faults               | 5     |
      | lost messages           | 40    |
      | late messages           | 40    |
      | member restarts         | 40    |
      | one member disconnected | 40    |
      | all faults              | 80    |

  Scenario: a subscriber is confirmed only by a majority
    Then a subscriber is confirmed exactly if a reference count finds answers of a majority, in 300 random histories

  Scenario: a subscriber ignores malformed answers and answers of unknown senders
    Then a subscriber is not changed by answers that are malformed in any field

  Scenario: valid pulls are answered in spite of malformed ones
    Then a subscriber gets its answer while other connections send malformed pulls

  Scenario: a subscriber forgets instances that departed long ago
    Then a subscriber forgets an instance that has not been ready for a minute, and keeps one that became ready again

  Scenario: a stalled subscriber does not count answers that may be old as confirmed
    Then a subscriber that was stalled counts answers to earlier pulls as not confirmed, but applies their records

  Scenario: a subscriber follows the replica set
    Then a subscriber accepts a later replica set even from a removed member, and no earlier one
    And a subscriber that has received nothing for 11 s pulls from its seeds again, including those added later
    And a subscriber requests no configuration from a member whose update removes it from the replica set

  Scenario: a change that directly follows another one is pulled immediately
    Given a proxy on loopback with 1 instances
    Then a proxy that has just applied revision 2 and is offered revision 3 requests it immediately
    And a proxy that waits for revision 4 requests it from no other controller
