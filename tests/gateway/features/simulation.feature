Feature: Whole controllers, proxies, instances and operators in virtual time, among faults

  Scenario Outline: Drawn schedules violate no invariant
    Given control world seeds <first> to <last>
    Then no schedule violates an invariant
    And the schedules had faults, orders and rollouts

    Examples:
      | first | last |
      | 1     | 5    |
      | 6     | 10   |

  Scenario: Nothing acknowledged is lost with the disks that are to be borne and all power
    Then days 0 to 3 that end with a closing loss violate no invariant

  Scenario: Nor where the platform replaced controllers for good before, in whatever order
    Then days 0 to 5 on which controllers are replaced violate no invariant

  Scenario: Schedules that violated an invariant once do so no more
    Given the kept schedules
    Then no schedule violates an invariant

  Scenario: Each mutant is found, in a schedule of its own
    Then each mutant violates its invariant, and the sound program violates none there

  Scenario: A schedule plays the same way each time
    Given control world seeds 4 to 4
    Then playing control world seed 4 again gives the same

  Scenario: A schedule that violates an invariant is shrunk to the steps that matter
    Given a schedule of 8 steps in which the mutant "a proxy is ready without a quorum" is found
    When the schedule is shrunk
    Then 3 steps are left, and the mutant is found in them

  Scenario Outline: A text that is no schedule is refused with its line
    Then the schedule "<text>" is refused with "<reason>"

    Examples:
      | text                               | reason          |
      | day seed=x                         | line 1:         |
      | day seed=1;soon freeze             | line 2:         |
      | day seed=1;5 freeze on             | line 2:         |
      | 5 freeze                           | line 1:         |
      | # nothing                          | no line begins  |
