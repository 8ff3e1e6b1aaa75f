Feature: The screen
  Members and fronts that heard the same of the machines, in whatever order, hold the same.

  Scenario: the screen holds the same whatever the order of what is told
    Then the screen ends alike over 300 lives told in any order, doubled, and lost and told again

  Scenario: the screen lets no machine back that is leaving
    Then the screen never lets a machine of 300 histories back from leaving

  Scenario: the screen tells what changed after a number
    Then the screen tells after any number what a plain log of 200 histories tells

  Scenario: the screen calls machines silent only while it hears the others
    Then the screen finds silence where a plain watch over 100 histories finds it

  Scenario: the screen holds a bounded number of machines
    Then the screen told of 20001 machines holds 20000 and still takes news of those

  Scenario: the screen of a member that was out of touch tells nothing old
    Then the screen of a member back after 31 s tells no machine that it did not hear of meanwhile, and those that leave
