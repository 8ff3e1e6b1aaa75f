Feature: Conditional writes are decided once
  The head decides every put against the current value; a member that cannot prove contact with a
  majority answers that it is unavailable.

  Scenario Outline: Putting configurations <puts> gives <outcomes>
    Then putting configurations <puts> gives <outcomes>

    Examples: a revision number and its content; a capital letter is the same JSON with its keys in another order
      | puts              | outcomes                          |
      | 5a 5a 5A          | taken same same                   |
      | 5a 5b 5a          | taken clash same                  |
      | 5a 4b 4c          | taken older older                 |
      | 5a 7b 5a 5c       | taken taken same clash            |
      | 5a 7b 9c 7b 7a 6a | taken taken taken same clash older |

  Scenario: Past revisions are recognized as far back as is documented, in bounded space
    Then of 300 configurations the last 129 are recognized, in at most 2200 bytes besides the text

  Scenario: A malformed put changes nothing
    Then malformed puts are conflicts, and none raises an error

  Scenario Outline: Ordering roll-outs <orders> gives <outcomes>
    Then ordering roll-outs <orders> gives <outcomes>

    Examples: a target, with its idempotency key after "#"; "!" gives the state in which the last one ended
      | orders                        | outcomes                     |
      | v2 v2 v3 v2                   | taken same clash same        |
      | v2 !settled v2 v3 v2 v3       | taken same taken same same   |
      | v2 !reverted v2 v2#x v2#x     | taken same taken same        |
      | v2#x v2#x v2 v2#y             | taken same same clash        |
      | v2 !settled v3 !reverted v2#n | taken taken taken            |

  Scenario Outline: A stage decided <when> comes out as <outcome>
    Then a stage decided <when> comes out as <outcome>

    Examples:
      | when                                 | outcome |
      | on the record that stands            | taken   |
      | on a record that an earlier head took with its order | taken   |
      | under an earlier epoch               | older   |
      | under a later epoch                  | older   |
      | on an earlier record                 | older   |
      | on the record of an earlier order    | older   |
      | after it was reverted                | older   |

  Scenario Outline: In an upgrade an order of <target> reaches a head of the earlier revision while v2 is in progress
    Then a controller with such a head answers an order of <target> with <status>, and v2 stays in progress

    Examples:
      | target | status |
      | v2     | 200    |
      | v3     | 409    |

  Scenario: Stores of the earlier revision are read
    Given the members of a chain have stores of the earlier revision
    Then each member answers puts as if this revision had written the stores

  Scenario Outline: Histories are checked for linearizability: <history>
    Then the linearizability checker finds <history> <verdict>

    Examples: start-end, put or read, and the answer; letters are contents, "-" is no configuration, "?" is no answer
      | history                                         | verdict |
      | 0-1 5a taken, 2-3 read 5a                       | sound   |
      | 0-1 5a taken, 2-3 read -                        | broken  |
      | 0-1 5a taken, 0-1 5b taken                      | broken  |
      | 0-1 5a taken, 0-1 5b clash                      | sound   |
      | 0-1 5a ?, 2-3 read -, 4-5 read 5a               | sound   |
      | 0-1 5a ?, 2-3 read 5a, 4-5 read -               | broken  |
      | 0-1 5a ?, 2-3 4b older                          | sound   |
      | 0-1 4b older                                    | broken  |
      | 0-1 3a ?, 0-1 5a ?, 2-3 2b older, 4-5 3a older  | sound   |
      | 0-1 3a ?, 2-3 2b older, 4-5 3a older            | broken  |
      | 0-1 5a taken, 2-3 6a taken, 4-5 5a clash        | broken  |
      | 0-1 5a taken, 2-3 6a taken, 4-5 5b older        | broken  |
      | 0-9 5a taken, 1-2 read 5a, 3-4 5b clash         | sound   |
      | 0-9 5a taken, 1-2 read 5a, 3-4 read -           | broken  |

  Scenario Outline: Operators race, repeat calls and give up in fault storms among <members> members
    Then the answers of <members> members are consistent in storms <first> to <last>

    Examples:
      | members | first | last |
      | 3       | 0     | 39   |
      | 5       | 100   | 115  |

  Scenario Outline: Storms find a defect that was introduced on purpose: <broken>
    Then storms find the defect "<broken>" within <count> seeds

    Examples:
      | broken                   | count |
      | unconditional            | 3     |
      | forgetful                | 3     |
      | unfenced                 | 5     |
      | WithoutReadRounds        | 60    |
      | WithEarlyAcknowledgements | 10    |
      | WithoutDecidedWrites     | 60    |

  Scenario Outline: The <place> is cut off or frozen for 20 s: <way>
    Then the <place> with fault "<way>" for 20 s answers nothing beyond its lease, and everything again soon after

    Examples:
      | place  | way    |
      | head   | to     |
      | head   | from   |
      | head   | both   |
      | head   | frozen |
      | middle | to     |
      | middle | from   |
      | middle | both   |
      | middle | frozen |
      | tail   | to     |
      | tail   | from   |
      | tail   | both   |
      | tail   | frozen |
