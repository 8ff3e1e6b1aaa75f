Feature: Rollouts are settled or reverted by the end of their ramp time
  Proxies and controllers in virtual time; reports drop, updates come late, processes restart.

  Scenario Outline: A bad version is reverted within its exposure
    Given a rollout of a version that is <kind>, played with seeds <first> to <last>
    Then the rollout is reverted by the end of its ramp in each of them
    And the rollout kept its exposure in each of them
    And the rollout sent nothing more than 5 s after the 50th bad answer

    Examples:
      | kind       | first | last |
      | errors     | 0     | 1    |
      | slow       | 0     | 1    |
      | under_load | 0     | 1    |
      | one_class  | 0     | 1    |
      | late       | 0     | 1    |
      | at_the_end | 0     | 1    |

  Scenario Outline: A good version is settled, and nothing is left at the old instances
    Given a rollout of a version that is <kind>, played with seeds <first> to <last>
    Then the rollout is settled by the end of its ramp in each of them
    And the rollout left nothing at the old instances

    Examples:
      | kind         | first | last |
      | good         | 0     | 2    |
      | good_dies    | 2     | 3    |
      | good_trouble | 0     | 1    |

  Scenario: Versions that no order rolls out get nothing
    Given proxy F that lists 3 instances of v1
    When proxy F also lists 3 instances of v2
    Then proxy F sends v1 every request, and may not send v2 any
    When proxy F learns of an order for v2 at stage 0
    Then proxy F sends v2 from 1 to 12 of 200 requests
    When proxy F gets no update for 1600 ms
    Then proxy F sends v1 every request, and may not send v2 any

  Scenario: What has ended stays ended
    Given proxy F that lists 3 instances of v1
    And proxy F also lists 3 instances of v2
    When proxy F learns of an order for v2 at stage 3
    Then proxy F sends v2 every request, and may not send v1 any
    When proxy F learns that it is reverted
    And proxy F learns of an order for v2 at stage 3
    Then proxy F sends v1 every request, and may not send v2 any

  Scenario: A proxy that sees enough bad outcomes keeps off the trial by itself
    Given proxy F that lists 3 instances of v1
    And proxy F also lists 3 instances of v2
    When proxy F learns of an order for v2 at stage 3
    And proxy F sees 12 attempts at v2 fail
    Then proxy F sends v1 every request, and may not send v2 any

  Scenario: An attempt whose client left counts as late where it was, and else not at all
    Given proxy F that lists 10 instances of v1
    And proxy F also lists 3 instances of v2
    When proxy F learns of an order for v2 at stage 1
    And 4 attempts of proxy F at v2 are abandoned before the target time, and 6 after it
    Then proxy F has counted 6 late outcomes of the trial, none failed, and has nothing in flight

  Scenario: Orders that clash
    Given a rollout coordinator without orders
    Then the rollout coordinator answers CONFLICT to an order for v3 after one for v2
    And the rollout coordinator answers OK to an order for v2 again
    And the rollout coordinator answers INVALID to an order with a ramp of 0 s

  Scenario: The trouble of one proxy, or of one instance, reverts nothing
    Given a rollout coordinator that leads an order for v2, and 4 proxies that report
    When proxy 1 reports that 20 of 20 outcomes of instance b-1 were bad
    Then the rollout coordinator goes on
    When proxy 2 reports that 20 of 20 outcomes of instance b-1 were bad
    Then the rollout coordinator goes on
    When proxy 2 reports that 4 of 4 outcomes of instance b-2 were bad
    Then the rollout coordinator reverts it
