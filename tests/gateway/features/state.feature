Feature: The state on disk proves itself
  What a member holds is what was written, or it is found out at the start and counts as lost.

  Scenario Outline: An end at any step of a run of changes loses nothing
    Then a store that ends at each step of 25 changes, drawn by <seed>, holds what was written before or after

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: A store whose synced pages go missing does not pass for one that held
    Then a store that does not sync its pages before their meta page is caught by the ends at each step

  Scenario Outline: Rotten bytes are found, or do no harm
    Then of 300 flipped bits drawn by <seed>, each is found by the store or does no harm

    Examples:
      | seed |
      | 3    |
      | 4    |

  Scenario Outline: A store that is broken on purpose is caught
    Then a store that <broken> is caught by flipped bits

    Examples:
      | broken                        |
      | skips the checksums           |
      | does not look at the manifest |
      | does not look at the pages    |

  Scenario: A store whose first start was cut short is a new one
    Then a store of which only the first bytes were written is new, whatever their number

  Scenario: A store of the revision before is read, and written anew
    Given a store as the revision before wrote it
    Then the store holds what that revision wrote, and is not lost
    And after one more write the store proves itself

  Scenario: A later revision's store is left alone
    Given a store that says that it is of a later format
    Then the store is refused with its format named, and its file is as it was

  Scenario: What was found rotten counts as lost until the member is filled
    Given a store of which a record is rotten
    Then the store is lost, also when it is opened again
    When the store gets what a filled member writes
    Then the store is no longer lost when it is opened again

  Scenario: A member of a rotten store is blank, also while the system is marked as new
    Given a store of which a record is rotten
    Then the core on that store, marked cold, is blank and no founder

  Scenario: A store that LMDB has given up is opened anew
    Given a store whose meta page could not be written
    Then the next write to the store is refused, and the one after it is done

  Scenario: A full store refuses, says so, and goes on with what it holds
    Given a store with little room
    Then the store refuses what does not fit as full, and takes it once something was removed
