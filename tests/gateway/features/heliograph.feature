Feature: The heliograph
  A reader ends with all that any member knows and never goes back, whatever is lost or late.

  Scenario Outline: a reader of news among <what>
    Then a reader of news among <what> ends with all there is and never goes back, over <count> histories

    Examples:
      | what            | count |
      | calm members    | 5     |
      | lost answers    | 40    |
      | late answers    | 40    |
      | new lives       | 40    |
      | one cut off     | 40    |
      | all of these    | 80    |

  Scenario: a reader of news is sure only by a majority
    Then a reader of news counts as firm exactly when a plain count says a majority was heard, over 300 histories

  Scenario: a reader of news takes nothing from strangers or garbled
    Then a reader of news is left as it was by answers garbled in any field

  Scenario: news are answered among garbled pulls
    Then a reader of news gets its answer while strangers pull with garbled numbers

  Scenario: a reader of news forgets machines that are long gone
    Then a reader of news holds no machine that has not been ready for a minute, and those that came back

  Scenario: a reader of news that stood still believes nothing that may have lain there
    Then a reader of news that stood still counts answers to pulls from before as not firm, and takes their facts

  Scenario: a reader of news follows the members' set
    Then a reader of news takes a later set also from one that was taken out, and no earlier one
    And a reader of news to whom nobody has spoken for 11 s asks its seeds again, those named later too
