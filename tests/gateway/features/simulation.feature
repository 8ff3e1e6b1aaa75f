Feature: Controllers, proxies, instances and operators in virtual time under injected faults

  Scenario Outline: Random schedules violate no invariant
    Given control world seeds <first> to <last>
    Then no schedule violates an invariant
    And the schedules had faults, orders and rollouts

    Examples:
      | first | last |
      | 1     | 5    |
      | 6     | 10   |

  Scenario: Acknowledged departures outlive the end of all controllers
    Given departure seeds 0 to 9
    Then no schedule violates an invariant

  Scenario: No acknowledged data is lost with the tolerated number of disks and all power
    Then runs 0 to 5 that end with a closing loss violate no invariant

  Scenario: No acknowledged data is lost either after permanent replacements of controllers in any order
    Then runs 0 to 5 in which controllers are replaced violate no invariant

  Scenario: Schedules that once violated an invariant no longer do so
    Given the regression schedules
    Then no schedule violates an invariant

  Scenario: Each mutant is detected by a schedule of its own
    Then each mutant violates its invariant, and the unchanged program violates none there

  Scenario: A schedule gives the same run each time
    Given control world seeds 4 to 4
    Then running control world seed 4 twice gives the same result

  Scenario: A schedule that violates an invariant is shrunk to the necessary steps
    Given a schedule of 8 steps that detects the mutant "a proxy is ready without a quorum"
    When the schedule is shrunk
    Then 3 steps are left that still detect the mutant

  Scenario Outline: An invalid schedule is rejected with the number of the line
    Then the schedule "<text>" is rejected with "<reason>"

    Examples:
      | text                               | reason          |
      | day seed=x                         | line 1:         |
      | day seed=1;soon freeze             | line 2:         |
      | day seed=1;5 freeze on             | line 2:         |
      | 5 freeze                           | line 1:         |
      | # nothing                          | no line begins  |
