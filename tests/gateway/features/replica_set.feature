Feature: The replica set changes while it serves
  Newcomers are learners first. A change needs a majority of both the old and the new set. Only one change runs at a time.

  Scenario Outline: Storms of faults and membership changes violate no invariant
    Given storms of faults and membership changes run with seeds <first> to <last> among <members> members
    Then no storm violates an invariant, over at least <changes> membership changes

    Examples:
      | first | last | members | changes |
      | 0     | 9    | 3       | 45      |
      | 100   | 104  | 5       | 20      |

  Scenario: All three members are replaced one after another while puts are accepted
    Given a replica set of 3 members with 3 spares
    When each member is replaced by a spare while puts are made
    Then the replica set has none of its first members, and holds every acknowledged write
    And at most one put per replacement was answered UNAVAILABLE

  Scenario: Two members are ordered to change the set at the same time
    Given two members are ordered to change the replica set up to 60 ms apart, 40 times
    Then each time, every replica set followed from the one before

  Scenario: A change is abandoned if another one has come into force since it began
    Given a replica set of 3 members with 2 spares
    When member 2 of the replica set has begun a change, and learns that member 1 has completed another
    Then the promise of member 1 makes member 2 abandon its change

  Scenario: A proposer that learns during its attempt that it was removed abandons the attempt
    Given a replica set of 3 members with 2 spares
    When member 2 of the replica set has proposed a view, and the promises of the others report a set without it
    Then member 2 of the replica set has sent no new view

  Scenario Outline: A change that would leave too few members is refused
    Given a replica set of 3 members with 1 spares
    When member 3 of the replica set stops for 2000 ms
    And member 1 of the replica set is ordered to <order>
    Then the order is refused: "<why>"

    Examples:
      | order            | why                                                                                          |
      | remove member 2  | would leave 2 members, 3 are needed to bear the loss of 1                                    |
      | replace member 2 | would leave 2 of 3 up with none to lose: bring back 10.0.0.3, or replace it first            |
      | add a stranger   | 10.9.9.9 is not ready: no learner of this system that all of the chain hear, filled and well |

  Scenario: A member that is lost permanently is replaced
    Given a replica set of 3 members with 1 spares
    When member 3 of the replica set stops for 2000 ms
    And member 1 of the replica set is ordered to replace member 3
    Then the order is done, and no member is degraded
    When member 1 of the replica set stops for 2000 ms
    Then the replica set serves with member 2 and a spare

  Scenario: A machine of another system is rejected
    Given a replica set of 3 members with 1 spares
    When the spare starts with the disk of another system
    And 3000 ms pass in the replica set
    Then no member lists the spare among its learners

  Scenario: A removed member answers no calls, and learns that it was removed
    Given a replica set of 3 members with 1 spares
    When member 1 of the replica set stops for 10 ms
    And member 2 of the replica set is ordered to replace member 1 once that is possible
    And member 1 of the replica set starts
    And 2000 ms pass in the replica set
    Then member 1 of the replica set is a learner, and answers UNAVAILABLE

  Scenario: This revision starts on the store of the previous revision
    Given a replica set of 3 members with 1 spares
    When all machines stop, and the members' disks hold the records of the previous revision
    And all members start again
    Then the replica set is healthy within 2000 ms, and a spare that starts can become a member

  Scenario Outline: A second loss leaves a majority
    Given a replica set after the event "<kind>"
    Then after a second loss at every 800 ms from 4000 to 7200 ms later, a majority remains and no acknowledged write is lost

    Examples:
      | kind                            |
      | lost its disk, back after 2 s   |
      | left in order, back after 0.5 s |
      | lost for good, replaced         |

  Scenario: A head that is told to shut down hands over
    Given a replica set of 3 members with 1 spares
    When puts are made at member 2 of the replica set every 10 ms for 2000 ms, and the head is told to shut down after 500 ms
    Then the longest time without an acknowledgement was under 150 ms
    And the head ended within 300 ms, and the replica set is unchanged

  Scenario: A removed member answers its pending call at once
    Given a replica set of 3 members with 1 spares
    When member 1 of the replica set is asked to put, and its messages to the head are lost
    And member 2 of the replica set is ordered to replace member 1
    Then the put was answered UNAVAILABLE within 60 ms

  Scenario: A member of the previous revision keeps working, and no change is made while it runs
    Given a replica set of 3 members with 1 spares
    When member 3 of the replica set sends messages of the previous revision
    And all members stop, and start again
    Then the replica set is healthy within 2000 ms, and takes puts
    And the others know that member 3 would not decide puts as the head
    When member 1 of the replica set is ordered to replace member 2
    Then the order is refused: "10.0.0.3 runs a revision that knows no changes of the members"

  Scenario: No change is made while a member of the previous revision is away, as it would not learn about the change once back
    Given a replica set of 5 members with 1 spares
    When member 5 of the replica set sends messages of the previous revision
    And 500 ms pass in the replica set
    And member 5 of the replica set stops for 2500 ms
    And member 1 of the replica set is ordered to add member 6
    Then the order is refused: "10.0.0.5 runs a revision that knows no changes of the members"
    When member 1 of the replica set is ordered to replace member 5 once that is possible
    Then the replica set has the spare in the place of member 5

  Scenario: No change puts a majority into one zone
    Given a replica set of 3 members with 3 spares that may succeed members
    When 1500 ms pass in the replica set
    And member 1 of the replica set is ordered to replace member 2
    Then the order is refused: "would leave a majority in zone z0, where none is now"
    When member 2 of the replica set is ordered to replace member 1
    Then the order is done, and no member is degraded

  Scenario: A newcomer whose seeds are all gone joins by an operator's order
    Given a replica set of 3 members with 1 spares
    When the spare starts with an empty disk, and no replica runs at its seeds
    And 2000 ms pass in the replica set
    Then no member lists the spare among its learners
    When member 1 of the replica set is ordered to replace member 2
    And 2500 ms pass in the replica set
    And member 1 of the replica set is ordered to replace member 2
    Then the order is done, and no member is degraded

  Scenario: A learner stores the committed state on its disk before it becomes a member
    Given a replica set of 3 members with 1 spares
    When puts are made in the replica set for 1000 ms
    And 1500 ms pass in the replica set
    Then the disk of the spare holds the committed state
    When the spare is killed and starts again
    Then the spare is a learner, and no member considers it ready
    When 2500 ms pass in the replica set
    And member 1 of the replica set is ordered to replace member 2
    Then the order is done, and no member is degraded

  Scenario: State stored by a learner does not enter a newly founded system
    Given a replica set of 3 members with 1 spares
    When puts are made in the replica set for 1000 ms
    And 1500 ms pass in the replica set
    And a member of a new system starts with the disk of the spare
    Then the map of the new system is empty

  Scenario: A newcomer whose disk does not write does not become a member
    Given a replica set of 3 members with 1 spares
    When the disk of the spare hangs
    And puts are made in the replica set for 2500 ms
    And member 1 of the replica set is ordered to replace member 2
    Then the order is refused: "10.0.0.100 is not ready: no learner of this system that all of the chain hear, filled and well"

  Scenario: A replica without its disk accepts no view that follows a set whose promises it did not query
    Given a replica set of 3 members with 1 spares
    When a spare has replaced member 1, which does not know that, and the spare loses its disk
    And the spare learns the promises of members 1 and 2, but not the set in force
    And the spare is sent a view in which member 1 replaces member 2
    Then the spare has not accepted that view
    When the spare receives all messages again
    Then the set in force is healthy, and holds every acknowledged write
