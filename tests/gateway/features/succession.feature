Feature: Learners succeed departed members
  A platform replaces machines in any order. A ready learner in the member's zone that the platform has marked as a quorum member succeeds it.

  Scenario: A machine that the platform started in the place of a lost member succeeds it
    Given a replica set of 3 members with 3 spares that may succeed members
    And the spares of the replica set stop
    When member 2 of the replica set stops for 3000 ms
    And member 5 of the replica set starts
    Then within 2500 ms member 5 of the replica set is a member in the place of member 2, and none is degraded
    When member 2 of the replica set starts
    And 5000 ms pass in the replica set
    Then member 2 of the replica set is a learner, and answers UNAVAILABLE

  Scenario: A successor takes over even if all other members were restarted meanwhile
    Given a replica set of 3 members with 3 spares that may succeed members
    And the spares of the replica set stop
    When member 2 of the replica set stops for 1000 ms
    And the running members of the replica set restart
    And 3000 ms pass in the replica set
    And member 5 of the replica set starts
    Then within 2500 ms member 5 of the replica set is a member in the place of member 2, and none is degraded

  Scenario Outline: No member is removed unless a successor is ready
    Given a replica set of 3 members with 3 spares that <may> succeed members
    And the spares of the replica set stop
    When <first>
    And <second>
    And 20000 ms pass in the replica set
    Then the members of the replica set are unchanged

    Examples:
      | may     | first                                                | second                                            |
      | may     | member 2 of the replica set stops for 3000 ms        | member 4 of the replica set starts                |
      | may     | member 4 of the replica set starts                   | member 2 of the replica set is cut off            |
      | may     | member 2 of the replica set is told to shut down     | member 4 of the replica set starts                |
      | may     | member 2 and member 3 of the replica set are cut off | successors of both start while one member remains |
      | may not | member 5 of the replica set starts                   | member 2 of the replica set stops for 3000 ms     |
      | may not | member 2 of the replica set stops for 3000 ms        | member 5 of the replica set starts                |
      | may not | member 5 of the replica set starts                   | member 2 of the replica set is told to shut down  |

  Scenario Outline: A member that is back in time keeps its place, even if a learner is ready
    Given a replica set of 3 members with 3 spares that may succeed members
    And the spares of the replica set stop
    When member 5 of the replica set starts
    And 3000 ms pass in the replica set
    And member 2 of the replica set <goes>
    And <back>
    And 20000 ms pass in the replica set
    Then the members of the replica set are unchanged

    Examples:
      | goes              | back                                                     |
      | stops for 1500 ms | member 2 of the replica set starts                       |
      | is cut off        | the network of the replica set is restored after 1500 ms |

  Scenario Outline: A ready learner succeeds a member that is away for longer, and keeps the place when it returns
    Given a replica set of 3 members with 3 spares that may succeed members
    And the spares of the replica set stop
    When <first>
    And <second>
    Then within 5000 ms member 5 of the replica set is a member in the place of member 2, and none is degraded
    When member 2 of the replica set comes back
    And 20000 ms pass in the replica set
    Then member 2 of the replica set is a learner, and answers UNAVAILABLE
    And the replica set holds every acknowledged write

    Examples:
      | first                                         | second                                           |
      | member 5 of the replica set starts            | member 2 of the replica set stops for 3000 ms    |
      | member 5 of the replica set starts            | member 2 of the replica set is cut off           |
      | member 2 of the replica set stops for 1000 ms | member 5 starts, and the running members restart |

  Scenario: Members that a platform replaces permanently are succeeded, in any order of its actions
    Then each of these replacements leaves a set that tolerates the loss of its disks
      | order                                         | members | seeds |
      | planned                                       | 3, 5    | 3     |
      | planned, SIGTERM 0.5 s after the newcomer     | 3, 5    | 2     |
      | planned, and killed                           | 3, 5    | 2     |
      | planned, while another in its zone restarts   | 3, 5    | 2     |
      | planned, while another in its zone is cut off | 3, 5    | 2     |
      | planned, and all lose power in the middle     | 3, 5    | 4     |
      | lost, a newcomer at once                      | 3, 5    | 2     |
      | lost, a newcomer 0.4 s later                  | 3, 5    | 2     |
      | lost, a newcomer 1 s later                    | 3, 5    | 2     |
      | lost, a newcomer 5 s later                    | 3, 5    | 2     |
      | lost, and its newcomer after it               | 3, 5    | 2     |
      | lost, and its newcomer as a new member        | 3, 5    | 4     |
      | succeeded, and back after all                 | 3, 5    | 2     |
      | two lost at once                              | 5       | 6     |
      | two planned at once                           | 5       | 3     |
      | two lost, one after the other                 | 5       | 6     |

  Scenario: A member that is told to shut down while its successor is ready has been removed when it ends
    Then each of 6 members that end as planned, in sets of 3 and 5, was replaced before it ended

  Scenario: A test detects the removal of each condition of the succession
    Then each mutant of the succession fails its test, and the unchanged program passes all
