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
    Then the controller on that store, marked cold, counts its disk as lost and founds nothing

  Scenario: A store that LMDB has given up is opened anew
    Given a store whose meta page could not be written
    Then the next write to the store is refused, and the one after it is done

  Scenario: A full store refuses, says so, and goes on with what it holds
    Given a store with little room
    Then the store refuses what does not fit as full, and takes it once something was removed

  Scenario: A sweep finds a value that is no longer what was written, and it is written again
    Given a controller whose disk holds a configuration
    When a bit of the configuration flips on the controller's disk
    And the controller's time for a sweep has come
    Then the controller has repaired one record, and its disk holds what was written

  Scenario Outline: A sweep that finds what cannot be mended ends the process, and its disk counts as lost
    Given a controller whose disk holds a configuration
    When <what> on the controller's disk
    And the controller's time for a sweep has come
    Then the controller ends, and a start on its disk counts it as lost

    Examples:
      | what                      |
      | a bit of the view flips   |
      | a page is overwritten     |

  Scenario: The store stays small over thousands of changes
    Then after 3000 changes of 60 kB and of 20 roll-outs the store is below 2 MB

  Scenario: Fronts get what changed beside the configuration, and no more
    Then a controller tells one who pulls from any version exactly the roll-outs that changed since

  Scenario: A member that leads with what it holds, without asking who holds the newest, is caught
    Then storms of members that lead without asking break a promise within 20 seeds

  Scenario: Members that hold different maps at one version find out, and others do not
    Then of members that compare digests only those that differ at one version are told
