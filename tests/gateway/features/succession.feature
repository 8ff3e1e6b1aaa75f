Feature: Learners take the places of members that are gone
  A platform replaces machines in any order; who stands ready, counts and runs in the member's zone succeeds it.

  Scenario: One that the platform started in the place of a lost member succeeds it
    Given a register of 3 members with 3 spares that count by the platform's word
    And the spares of the register stop
    When member 2 of the register stops for 3000 ms
    And member 5 of the register starts
    Then within 2500 ms member 5 of the register is a member in the place of member 2, and none is degraded
    When member 2 of the register starts
    And 5000 ms pass in the register
    Then member 2 of the register is a learner, and answers UNAVAILABLE

  Scenario: Also where all others were restarted meanwhile
    Given a register of 3 members with 3 spares that count by the platform's word
    And the spares of the register stop
    When member 2 of the register stops for 1000 ms
    And the members of the register that run restart
    And 3000 ms pass in the register
    And member 5 of the register starts
    Then within 2500 ms member 5 of the register is a member in the place of member 2, and none is degraded

  Scenario Outline: Nobody is taken out where nobody stands ready in its place
    Given a register of 3 members with 3 spares that <count> by the platform's word
    And the spares of the register stop
    When <first>
    And <second>
    And 20000 ms pass in the register
    Then the members of the register are the first ones

    Examples:
      | count        | first                                                | second                                               |
      | count        | member 2 of the register stops for 3000 ms           | member 4 of the register starts                      |
      | count        | member 4 of the register starts                      | member 2 of the register is cut off                  |
      | count        | member 2 of the register is told to end              | member 4 of the register starts                      |
      | count        | member 2 and member 3 of the register are cut off    | successors of both start beside the one that is left |
      | do not count | member 5 of the register starts                      | member 2 of the register stops for 3000 ms           |
      | do not count | member 2 of the register stops for 3000 ms           | member 5 of the register starts                      |
      | do not count | member 5 of the register starts                      | member 2 of the register is told to end              |

  Scenario Outline: A member that is back in time keeps its place, whoever stands by
    Given a register of 3 members with 3 spares that count by the platform's word
    And the spares of the register stop
    When member 5 of the register starts
    And 3000 ms pass in the register
    And member 2 of the register <goes>
    And <back>
    And 20000 ms pass in the register
    Then the members of the register are the first ones

    Examples:
      | goes              | back                                    |
      | stops for 1500 ms | member 2 of the register starts         |
      | is cut off        | the register is joined again in 1500 ms |

  Scenario Outline: Whoever stands ready takes the place of one that is away for longer, and gives it back to nobody
    Given a register of 3 members with 3 spares that count by the platform's word
    And the spares of the register stop
    When <first>
    And <second>
    Then within 5000 ms member 5 of the register is a member in the place of member 2, and none is degraded
    When member 2 of the register comes back
    And 20000 ms pass in the register
    Then member 2 of the register is a learner, and answers UNAVAILABLE
    And the register holds all that it told

    Examples:
      | first                                      | second                                      |
      | member 5 of the register starts            | member 2 of the register stops for 3000 ms  |
      | member 5 of the register starts            | member 2 of the register is cut off         |
      | member 2 of the register stops for 1000 ms | member 5 starts, and those that run restart |

  Scenario: Members that a platform replaces for good are succeeded, in whatever order it does so
    Then each of these replacements leaves a set that bears the loss of its disks
      | order                                          | members | seeds |
      | planned                                        | 3, 5    | 3     |
      | planned, SIGTERM 0.5 s after the newcomer      | 3, 5    | 2     |
      | planned, and killed                            | 3, 5    | 2     |
      | planned, while another in its zone restarts    | 3, 5    | 2     |
      | planned, while another in its zone is cut off  | 3, 5    | 2     |
      | planned, and all lose power in the middle      | 3, 5    | 4     |
      | lost, a newcomer at once                       | 3, 5    | 2     |
      | lost, a newcomer 0.4 s later                   | 3, 5    | 2     |
      | lost, a newcomer 1 s later                     | 3, 5    | 2     |
      | lost, a newcomer 5 s later                     | 3, 5    | 2     |
      | lost, and its newcomer after it                | 3, 5    | 2     |
      | lost, and its newcomer as a new member         | 3, 5    | 4     |
      | succeeded, and back after all                  | 3, 5    | 2     |
      | two lost at once                               | 5       | 6     |
      | two planned at once                            | 5       | 3     |
      | two lost, one after the other                  | 5       | 6     |

  Scenario: One that is told to end, with its successor ready, ends as no member
    Then each of 6 members that end as planned, among 3 and 5, has left no place open behind it

  Scenario: Each bound of the succession is found when it is taken away
    Then each mutant of the succession breaks its play, and the sound program breaks none
