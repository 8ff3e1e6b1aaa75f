Feature: The page of capacities
  Figures of docs/CAPACITY.md follow from what was measured, and from nothing else.

  Scenario: the page is what its measurements make
    Then the page of capacities is what its measurements make

  Scenario: a page that drifted is found
    Then the page of capacities is found to differ with any of its figures changed

  Scenario: slopes are told as they are
    Then a fit finds lines, powers and what is flat among 200 drawn histories, as a plain search does

  Scenario: the examples in the text of the capacities' modules
    Then the examples in the text of the capacities' modules hold

  Scenario: growth meets a bound where a plain search finds it
    Then each red line of the page of capacities stands where steps of a thousandth find it, in that order

  Scenario: every measure still runs
    Then every measure of capacities runs at its least size

  Scenario: a hollow front reads what a front reads
    Then a hollow front that skips the machines asks for the same as one that reads them
