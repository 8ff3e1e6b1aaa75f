Feature: Acknowledged writes survive faults of the replicas
  A chain of members, each with its own disk, that is repaired by changes of view.

  Scenario Outline: Storms of faults violate no guarantee
    Given fault storms <first> to <last> run against a chain of <members> members
    Then the chain kept all its guarantees in every storm

    Examples:
      | first | last | members |
      | 0     | 11   | 3       |
      | 100   | 105  | 5       |
      | 200   | 201  | 1       |

  Scenario: Three members found their system once all of them run
    Given a new chain of 3 members, of which only member 2 and member 3 run
    Then no member has founded the system after 5000 ms
    When member 1 starts
    Then all members serve in the chain within 1500 ms

  Scenario: A put is acknowledged once all members have it on disk
    Given a chain of 3 members
    When member 3 is asked to put revision 7 under "config/a"
    Then the chain answers OK within 50 ms
    And member 1 reads revision 7 under "config/a"
    And member 2 has revision 7 under "config/a" on disk
    When member 2 is asked to put revision 5 under "config/a"
    Then the chain answers OK within 50 ms
    And member 3 reads revision 7 under "config/a"

  Scenario Outline: One member is lost and comes back
    Given a chain of <members> members
    When member <lost> stops
    Then the chain serves without member <lost> within 1600 ms
    When member <lost> starts
    Then all members serve in the chain within 1600 ms

    Examples:
      | members | lost |
      | 3       | 1    |
      | 3       | 2    |
      | 3       | 3    |
      | 5       | 1    |
      | 5       | 4    |

  Scenario Outline: All members lose power at once, and one of them loses its disk
    Given a chain of <members> members
    When member 2 is asked to put revision 9 under "config/a"
    Then the chain answers OK within 50 ms
    When all members lose power, and member <lost> its disk
    And all members start within 500 ms
    Then all members serve in the chain within 2000 ms
    And member <lost> reads revision 9 under "config/a"

    Examples:
      | members | lost |
      | 3       | 1    |
      | 3       | 2    |
      | 5       | 5    |

  Scenario: All processes are killed at once
    Given a chain of 3 members
    When all members lose power
    And all members start within 200 ms
    Then all members serve in the chain within 800 ms

  Scenario Outline: A member whose disk does not write leaves the chain
    Given a chain of 3 members
    When the disk of member <faulty> <fails>
    And member 2 is asked to put revision 3 under "config/a"
    Then the chain serves without member <faulty> within 2500 ms
    When the disk of member <faulty> is healthy
    Then all members serve in the chain within 2500 ms

    Examples:
      | faulty | fails   |
      | 1      | hangs   |
      | 2      | refuses |
      | 3      | hangs   |
      | 1      | refuses |

  Scenario: Disks that are 25 times as slow still work
    Given a chain of 3 members
    When the disk of every member is slow
    And member 1 is asked to put revision 4 under "config/a"
    Then the chain answers OK within 400 ms
    And the chain does not change for 5000 ms

  Scenario: A member that is cut off answers UNAVAILABLE
    Given a chain of 3 members
    When member 3 is cut off
    And member 3 is asked to put revision 2 under "config/a"
    Then the chain answers UNAVAILABLE within 800 ms
    When member 1 is asked to put revision 6 under "config/a"
    Then the chain serves without member 3 within 1600 ms
    When member 3 is asked to read
    Then the chain answers UNAVAILABLE within 800 ms
    And member 3 is not connected
    When the network cuts are removed
    Then all members serve in the chain within 2000 ms

  Scenario: A cut in one direction between two members does not stop the chain
    Given a chain of 3 members
    When member 1 no longer receives messages from member 2
    Then the chain has two members within 1600 ms
    And the chain does not change for 5000 ms

  Scenario: A head acknowledges nothing once the others have promised a later epoch
    Given a chain of 3 members
    When member 3 stops
    Then the chain serves without member 3 within 1600 ms
    When member 3 starts
    And member 3 proposes a view of which member 1 hears nothing, and its new view is lost
    And member 1 is asked to put revision 8 under "config/a"
    Then the chain answers UNAVAILABLE within 800 ms

  Scenario: A member whose disk was lost accepts no view that it may have accepted before
    Given a chain of 3 members
    And the chain's messages of kind "newview" are recorded
    When member 3 stops
    Then the chain serves without member 3 within 1600 ms
    When member 3 starts
    Then all members serve in the chain within 1600 ms
    When member 1 is asked to put revision 8 under "config/a"
    Then the chain answers OK within 50 ms
    When member 3 loses its disk and starts, and of its messages only "learnt" and "learn" arrive
    And the recorded messages of kind "newview" are delivered to member 3 again
    Then member 3 still counts as a member whose disk was lost

  Scenario: A member whose disk was lost asks for promises only when its own earlier ones no longer count
    Given a chain of 3 members
    When member 3 loses its disk and starts, and of its messages only "learnt" and "learn" arrive
    Then member 3 sent no "learn" before 1000 ms, and the first before 1300 ms

  Scenario: Promises that arrive late do not count
    Given a chain of 3 members
    When member 2 proposes a view, and the promises to it are delayed by 610 ms
    Then member 2 sent no "newview" for the view it proposed

  Scenario: A view is accepted only once it is on disk
    Given a chain of 3 members
    When member 2 proposes a view, and the disk of member 3 hangs once it has promised
    And 300 ms pass, in which every message, "newview" among them, is delivered twice
    Then member 3 sent no "accept"
    And the chain has not moved to the view of member 2

  Scenario: A promise is given only once it is on disk
    Given a chain of 3 members
    When the disk of member 3 hangs
    And member 2 proposes a view
    Then member 3 sent no "promise"

  Scenario: A member whose disk was lost does not count in a majority
    Given a chain of 3 members
    When member 1 stops
    And member 3 loses its disk and starts, and of its messages only "learnt" and "learn" arrive
    And member 1 stops
    And member 2 proposes a view, and member 3 promises it as one whose disk was lost
    Then member 2 sent no "newview" for the view it proposed

  Scenario: Malformed messages are ignored
    Given a chain of 3 members
    Then member 1 ignores 3000 malformed messages without an error
    And member 2 reads an empty map
