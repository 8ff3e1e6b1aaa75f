Feature: Capacity page
  The figures of docs/CAPACITY.md follow from the measurements and from nothing else.

  Scenario: the page equals the one that its measurements generate
    Then the capacity page equals the page that its measurements generate

  Scenario: a page that differs from its measurements is detected
    Then the capacity page is reported to differ when any of its figures is changed

  Scenario: fits recognize the shape of a cost curve
    Then a fit recognizes lines, powers and flat costs in 200 random series, as a plain search does

  Scenario: doctests of the capacity modules
    Then the doctests of the capacity modules pass

  Scenario: growth limits are where a plain search finds them
    Then each growth limit of the capacity page is where a search in steps of a thousandth finds it, in that order

  Scenario: every measure still runs
    Then every capacity measure runs at its smallest size

  Scenario: a simulated front that skips the machines sends the same pulls
    Then a simulated front that skips the machines sends the same pull as one that reads them
