Feature: Whole core hosts, fronts, machines and operators in virtual time, among troubles

  Scenario Outline: Drawn days break no rule
    Given control days <first> to <last>
    Then no control day breaks a rule
    And the control days met troubles, orders and roll-outs

    Examples:
      | first | last |
      | 1     | 5    |
      | 6     | 10   |

  Scenario: Days that broke a rule once do so no more
    Given the control days that are kept
    Then no control day breaks a rule

  Scenario: A program that is broken on purpose is found, each in a day of its own
    Then each control world's mutant breaks its rule, and the sound program breaks none there

  Scenario: A day plays the same way each time
    Given control days 4 to 4
    Then playing control day 4 again gives the same

  Scenario: A day that breaks a rule is shrunk to the steps that matter
    Given a control day of 8 steps in which the mutant "a front is ready by one member's word" breaks its rule
    When the control day is shrunk
    Then 3 steps are left, and the mutant breaks its rule in them

  Scenario Outline: A text that is no day is refused with its line
    Then the control day "<text>" is refused with "<why>"

    Examples:
      | text                               | why             |
      | day seed=x                         | line 1:         |
      | day seed=1;soon freeze             | line 2:         |
      | day seed=1;5 freeze on             | line 2:         |
      | 5 freeze                           | line 1:         |
      | # nothing                          | no line begins  |
