Feature: The agreement on views as a plain model, in every order of steps

  Scenario: Every order of steps of a replacement, a view and a lost disk
    Given a small world in which 3 replaces 0, then a view is proposed, and one disk is lost
    Then each of its 507960 states keeps what was active
    Given a small world in which 3 replaces 0, then 3 replaces 1, and one disk is lost
    Then each of its 65537 states keeps what was active
    Given a small world in which 3 replaces 0, then 0 replaces 1, and one disk is lost
    Then each of its 23472 states keeps what was active

  Scenario Outline: Every order of steps finds what is broken on purpose
    Given a small world in which <orders>, and one disk is lost
    When it <breaks>
    Then a state shows it

    Examples:
      | orders                                     | breaks           |
      | 3 replaces 0, then a view is proposed      | counts_learners  |
      | 3 replaces 0, then a view is proposed      | asks_new_alone   |
      | 3 replaces 0, then a view is proposed      | fills_at_once    |
      | 3 replaces 0, then 3 replaces 1            | heeds_nothing    |
      | 3 replaces 0, then 0 replaces 1            | changes_unproven |

  Scenario: One whose disk was lost behind a later view takes no earlier one by promises of another set
    Given a small world in which a disk was lost behind a later view
    Then each of its 568 states keeps what was active
    When it fills_by_another_set
    Then a state shows it
