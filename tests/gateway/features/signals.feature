Feature: Signals
  What the platform may send to a program at any time, also before the program is so far that it handles it.

  Scenario: a hang-up during the start ends no program
    Then the program proxy that is hung up while it reads its settings goes on
    And the program controller that is hung up while it reads its settings goes on
