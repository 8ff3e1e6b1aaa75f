Feature: Retry budget
  Retries stay within a fraction of the requests in any window, whatever the number of proxies.

  Scenario: a budget counts requests and retries as a reference list does
    Then a budget agrees with a reference list of times to within a slot, in 200 random histories

  Scenario: the budget of one proxy keeps its bound in any window
    Then a budget under heavy demand keeps ratio and slack in every window, in 30 random histories

  Scenario: the budgets of nine proxies that restart keep the bound together
    Then the budgets of 9 proxies that restart keep the common bound in every window, in 10 random histories
