Feature: A model of the agreement on views keeps its invariants in every order of steps

  Scenario: Every order of steps of a replacement, a view and a lost disk
    Given a model in which 3 replaces 0, then a view is proposed, and one disk is lost
    Then none of its 507960 states breaks an invariant
    Given a model in which 3 replaces 0, then 3 replaces 1, and one disk is lost
    Then none of its 65537 states breaks an invariant
    Given a model in which 3 replaces 0, then 0 replaces 1, and one disk is lost
    Then none of its 23472 states breaks an invariant

  Scenario Outline: Exploring every order of steps detects a broken rule
    Given a model in which <changes>, and one disk is lost
    When the model has the mutation <mutation>
    Then a state breaks an invariant

    Examples:
      | changes                               | mutation                |
      | 3 replaces 0, then a view is proposed | counts_learners         |
      | 3 replaces 0, then a view is proposed | needs_new_majority_only |
      | 3 replaces 0, then a view is proposed | fills_without_query     |
      | 3 replaces 0, then 3 replaces 1       | ignores_newer_sets      |
      | 3 replaces 0, then 0 replaces 1       | changes_unproven_view   |

  Scenario: A replica that lost its disk behind a later view does not accept an earlier view
    Its knowledge of promises comes from another replica set than the one that the view follows.
    Given a model in which a disk was lost behind a later view
    Then none of its 568 states breaks an invariant
    When the model has the mutation fills_from_other_set
    Then a state breaks an invariant
