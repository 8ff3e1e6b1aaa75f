Feature: Discovery of instances
  Members and proxies that heard the same of the instances, in whatever order, hold the same.

  Scenario: the registry holds the same whatever the order of the records
    Then the registry ends alike over 300 lives reported in any order, doubled, and lost and reported again

  Scenario: the registry lets no instance back that is leaving
    Then the registry never lets an instance of 300 histories back from leaving

  Scenario: the registry lists what changed after a number
    Then the registry lists after any number what a plain log of 200 histories lists

  Scenario: the registry calls instances silent only while it hears the others
    Then the registry finds silence where a plain watch over 100 histories finds it

  Scenario: the registry holds a bounded number of instances
    Then the registry that hears of 20001 instances holds 20000 and still takes updates of those

  Scenario: the registry of a member that was out of touch lists nothing old
    Then the registry of a member back after 31 s lists no instance that it did not hear of meanwhile, and those that leave
