Feature: Signals
  Signals that the platform may send at any time, even before a program has installed its handlers.

  Scenario: SIGHUP during the start ends no program
    Then the program proxy that gets SIGHUP while it reads its settings continues
    And the program controller that gets SIGHUP while it reads its settings continues
