Feature: Control decides once
  Every order is decided at the head against what stands there, and what cannot prove contact says so.

  Scenario Outline: Configurations <puts> come to <outcomes>
    Then configurations <puts> come to <outcomes>

    Examples: a number and its content; capital letters are the same JSON in another order
      | puts              | outcomes                          |
      | 5a 5a 5A          | taken same same                   |
      | 5a 5b 5a          | taken clash same                  |
      | 5a 4b 4c          | taken older older                 |
      | 5a 7b 5a 5c       | taken taken same clash            |
      | 5a 7b 9c 7b 7a 6a | taken taken taken same clash older |

  Scenario: Numbers are known again as far back as is stated, and in bounded room
    Then of 300 configurations the last 129 are known again, in at most 2200 bytes beside the text

  Scenario: What has not the shape of an order changes nothing
    Then puts of another shape are a clash, and none raises

  Scenario Outline: Roll-outs <orders> come to <outcomes>
    Then roll-outs <orders> come to <outcomes>

    Examples: a target, with a key behind "#"; "!" says how the one under way ended
      | orders                        | outcomes                     |
      | v2 v2 v3 v2                   | taken same clash same        |
      | v2 !settled v2 v3 v2 v3       | taken same taken same same   |
      | v2 !reverted v2 v2#x v2#x     | taken same taken same        |
      | v2#x v2#x v2 v2#y             | taken same same clash        |
      | v2 !settled v3 !reverted v2#n | taken taken taken            |

  Scenario Outline: A stage decided <when> is <told>
    Then a stage decided <when> is <told>

    Examples:
      | when                                 | told  |
      | on the record that stands            | taken |
      | on a record that an earlier head took with its order | taken |
      | under an earlier epoch               | older |
      | under a later epoch                  | older |
      | on an earlier record                 | older |
      | on the record of an earlier order    | older |
      | after it was reverted                | older |

  Scenario Outline: In an upgrade an order of <target> comes to a head of the earlier revision while v2 is under way
    Then a controller with such a head answers an order of <target> with <status>, and v2 stays under way

    Examples:
      | target | status |
      | v2     | 200    |
      | v3     | 409    |

  Scenario: What the earlier revision stored is read
    Given the control's members hold a store of the earlier revision
    Then each control's member tells same, clash and taken as if it had been put under this one

  Scenario Outline: Histories are judged: <history>
    Then the judge of histories finds <history> <verdict>

    Examples: from-to put or read, told; letters are contents, "-" nothing, "?" no answer
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

  Scenario Outline: Operators race, repeat and give up in storms among <members> members
    Then the control of <members> members keeps what it told in storms <first> to <last>

    Examples:
      | members | first | last |
      | 3       | 0     | 39   |
      | 5       | 100   | 115  |

  Scenario Outline: A control that is broken on purpose is found: <broken>
    Then storms of a control that is "<broken>" break within <count> seeds

    Examples:
      | broken                   | count |
      | unconditional            | 3     |
      | forgetful                | 3     |
      | unfenced                 | 5     |
      | WithoutReadRounds        | 60    |
      | WithEarlyAcknowledgements | 10    |
      | WithoutDecidedWrites     | 60    |

  Scenario Outline: The <place> is in trouble for 20 s: <way>
    Then the control's <place> in trouble "<way>" for 20 s tells nothing beyond its lease, and all again soon after

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
