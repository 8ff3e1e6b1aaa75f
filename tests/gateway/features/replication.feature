Feature: What the replicas acknowledge stays
  A chain of members, each with its own disk; a small view that mends it.

  Scenario Outline: Storms of faults break no promise
    Given the chain plays storms <first> to <last> among <members> members
    Then the chain kept every promise in each of them

    Examples:
      | first | last | members |
      | 0     | 11   | 3       |
      | 100   | 105  | 5       |
      | 200   | 201  | 1       |

  Scenario: Three found their system once all are there
    Given the chain of 3 members is new, and only member 2 and member 3 run
    Then no member has founded anything after 5000 ms
    When member 1 starts
    Then the chain is whole within 1500 ms

  Scenario: A put is told once all have it on disk
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
    Then the chain is whole within 1600 ms

    Examples:
      | members | lost |
      | 3       | 1    |
      | 3       | 2    |
      | 3       | 3    |
      | 5       | 1    |
      | 5       | 4    |

  Scenario Outline: All lose power at once, and one its disk
    Given a chain of <members> members
    When member 2 is asked to put revision 9 under "config/a"
    Then the chain answers OK within 50 ms
    When all members lose power, and member <lost> its disk
    And all members start within 500 ms
    Then the chain is whole within 2000 ms
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
    Then the chain is whole within 800 ms

  Scenario Outline: A disk that does not write leaves the chain
    Given a chain of 3 members
    When the disk of member <ill> <fails>
    And member 2 is asked to put revision 3 under "config/a"
    Then the chain serves without member <ill> within 2500 ms
    When the disk of member <ill> is healthy
    Then the chain is whole within 2500 ms

    Examples:
      | ill | fails   |
      | 1   | hangs   |
      | 2   | refuses |
      | 3   | hangs   |
      | 1   | refuses |

  Scenario: Disks that are 25 times as slow just work
    Given a chain of 3 members
    When the disk of every member is slow
    And member 1 is asked to put revision 4 under "config/a"
    Then the chain answers OK within 400 ms
    And the chain stays as it is for 5000 ms

  Scenario: Who is cut off tells nothing
    Given a chain of 3 members
    When member 3 is cut off
    And member 3 is asked to put revision 2 under "config/a"
    Then the chain answers UNAVAILABLE within 800 ms
    When member 1 is asked to put revision 6 under "config/a"
    Then the chain serves without member 3 within 1600 ms
    When member 3 is asked to read
    Then the chain answers UNAVAILABLE within 800 ms
    And member 3 is not connected
    When the cuts are mended
    Then the chain is whole within 2000 ms

  Scenario: A cut in one direction between two does not stop the third
    Given a chain of 3 members
    When member 1 no longer hears member 2
    Then the chain has two members within 1600 ms
    And the chain stays as it is for 5000 ms

  Scenario: A head that was passed over tells nothing more
    Given a chain of 3 members
    When member 3 stops
    Then the chain serves without member 3 within 1600 ms
    When member 3 starts
    And member 3 proposes a view of which member 1 learns nothing, and whose chain is not told
    And member 1 is asked to put revision 8 under "config/a"
    Then the chain answers UNAVAILABLE within 800 ms

  Scenario: A member whose disk was lost takes no view that it may have been in
    Given a chain of 3 members
    And the chain's messages of kind "newview" are kept
    When member 3 stops
    Then the chain serves without member 3 within 1600 ms
    When member 3 starts
    Then the chain is whole within 1600 ms
    When member 1 is asked to put revision 8 under "config/a"
    Then the chain answers OK within 50 ms
    When member 3 loses its disk and starts, unheard by the others but for "learnt" and "learn"
    And the chain's messages of kind "newview" that were kept come to member 3 again
    Then member 3 counts as one whose disk was lost still

  Scenario: A member whose disk was lost asks what was promised only when promises from before are void
    Given a chain of 3 members
    When member 3 loses its disk and starts, unheard by the others but for "learnt" and "learn"
    Then the chain's messages show that member 3 sent no "learn" before 1000 ms, and one before 1300 ms

  Scenario: Promises that come late do not count
    Given a chain of 3 members
    When member 2 proposes a view, and the promises to it come after 610 ms
    Then the chain's messages show no "newview" of member 2 for that

  Scenario: A view is accepted only once it is on disk
    Given a chain of 3 members
    When member 2 proposes a view, and the disk of member 3 hangs once it has promised
    And 300 ms pass in the chain, in which every "newview" comes twice
    Then the chain's messages show no "accept" of member 3
    And the chain has not moved to the view of member 2

  Scenario: A promise is given only once it is on disk
    Given a chain of 3 members
    When the disk of member 3 hangs
    And member 2 proposes a view
    Then the chain's messages show no "promise" of member 3

  Scenario: A member whose disk was lost counts for nothing
    Given a chain of 3 members
    When member 1 stops
    And member 3 loses its disk and starts, unheard by the others but for "learnt" and "learn"
    And member 1 stops
    And member 2 proposes a view, and member 3 says it may be filled
    Then the chain's messages show no "newview" of member 2 for that

  Scenario: Garbage is dropped
    Given a chain of 3 members
    Then member 1 drops 3000 garbled messages without a fault
    And member 2 reads nothing
