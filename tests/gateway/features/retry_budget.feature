Feature: Retry budget
  Retries stay within a part of the requests in any window, whatever the number of fronts.

  Scenario: a budget counts as a plain list does
    Then a budget holds what a plain list of times says to within a slot, over 200 histories

  Scenario: a budget of one front keeps its part in any window
    Then a budget that is always wanted keeps ratio and slack in every window, over 30 histories

  Scenario: budgets of nine fronts that end and start again keep the bound together
    Then a budget at each of 9 fronts that end and start again keeps the common bound in every window, over 10 histories
