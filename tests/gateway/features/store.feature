Feature: The state on disk is verified
  A member's records are what was written; otherwise this is found at the start, and they count as lost.

  Scenario Outline: An interruption at any step of a series of writes loses nothing
    Then a store that is interrupted at each step of 25 writes, drawn with seed <seed>, holds the state before or after the write

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: The test of interruptions finds a store that does not sync its pages
    Then interruptions at each step reveal a store that does not sync its pages before their meta page

  Scenario Outline: Corrupted bytes are found, or do no harm
    Then each of 300 bit flips, drawn with seed <seed>, is found by the store or harmless

    Examples:
      | seed |
      | 3    |
      | 4    |

  Scenario Outline: The test of corrupted bytes finds a store that lacks a check
    Then bit flips reveal a store that <broken>

    Examples:
      | broken                        |
      | skips the checksums           |
      | does not look at the manifest |
      | does not look at the pages    |

  Scenario: A store whose creation was interrupted counts as new
    Then a store of which only the first bytes were written counts as new, however many they are

  Scenario: A store of the revision before is read and rewritten in the current format
    Given a store written by the revision before
    Then the store holds what that revision wrote, and does not count as lost
    And after one more write the store finds a damaged record

  Scenario: A store of a later revision is left unchanged
    Given a store of a later format
    Then opening the store fails with its format named, and its file is unchanged

  Scenario: A damaged store counts as lost until the member has been given the state
    Given a store with a damaged record
    Then the store counts as lost, also when it is opened again
    When a member that was given the state writes it to the store
    Then the store no longer counts as lost when it is opened again

  Scenario: A member with a damaged store founds no system, even if marked as new
    Given a store with a damaged record
    Then a controller with that store and coldStart set counts its disk as lost and founds nothing

  Scenario: A store is reopened after LMDB has refused further use of it
    Given a store whose meta page could not be written
    Then the next write to the store fails, and the one after it succeeds

  Scenario: A full store refuses writes, reports that it is full, and keeps its records
    Given a store with little space
    Then the store refuses a write that does not fit, reports that it is full, and takes the write once a record was removed

  Scenario: A sweep finds a damaged value, which is written again
    Given a controller whose disk holds a configuration
    When a bit of the configuration flips on the controller's disk
    And the controller's next sweep is due
    Then the controller has repaired one record, and its disk holds what was written

  Scenario Outline: A sweep that finds damage beyond repair ends the process, and its disk counts as lost
    Given a controller whose disk holds a configuration
    When <what> on the controller's disk
    And the controller's next sweep is due
    Then the controller shuts down, and a start on its disk counts the disk as lost

    Examples:
      | what                      |
      | a bit of the view flips   |
      | a page is overwritten     |

  Scenario: The store stays small over thousands of changes
    Then after 3000 changes of 60 kB and of 20 roll-outs the store is below 2 MB

  Scenario: Proxies are sent the roll-outs that changed, and no others
    Then a controller answers a pull from any version with exactly the roll-outs that changed since

  Scenario: Storms find members that propose a view from their own state, without asking who has the newest
    Then storms find within 20 seeds that members propose views without the others' state

  Scenario: Members with different maps at the same version detect it, and others report nothing
    Then a comparison of digests reports only members that differ at the same version
