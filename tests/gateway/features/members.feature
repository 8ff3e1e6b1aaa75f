Feature: The members of the register change while it serves
  Newcomers learn first, a change needs a majority of the old and of the new set, one change at a time.

  Scenario Outline: Storms of faults and changes break no promise
    Given the register plays storms of changes <first> to <last> among <members> members
    Then the register kept every promise in each of them, over at least <changes> changes

    Examples:
      | first | last | members | changes |
      | 0     | 9    | 3       | 45      |
      | 100   | 104  | 5       | 20      |

  Scenario: All three are replaced one after another while puts are taken
    Given a register of 3 members with 3 spares
    When each member is replaced by a spare while puts are made
    Then the register has none of its first members, and holds all that it told
    And at most one put a replacement was answered LATER

  Scenario: Two orders at once, at two members
    Given the register plays two orders at two members up to 60 ms apart, 40 times
    Then in each of them one set followed another

  Scenario Outline: A change that would leave too little is refused
    Given a register of 3 members with 1 spares
    When member 3 of the register stops for 2000 ms
    And member 1 of the register is ordered to <order>
    Then the order is refused: "<why>"

    Examples:
      | order              | why                                                                      |
      | remove member 2    | would leave 2 members, 3 are needed to bear the loss of 1                |
      | replace member 2   | would leave 2 of 3 up with none to lose: bring back 10.0.0.3, or replace it first |
      | add a stranger     | 10.9.9.9 is not ready: no learner of this system that all of the chain hear, filled and well |

  Scenario: One that is lost for good is replaced
    Given a register of 3 members with 1 spares
    When member 3 of the register stops for 2000 ms
    And member 1 of the register is ordered to replace member 3
    Then the order is done, and no member is thin
    When member 1 of the register stops for 2000 ms
    Then the register serves with member 2 and a spare

  Scenario: A stranger of another system is turned away
    Given a register of 3 members with 1 spares
    When the spare comes with the disk of another system
    And 3000 ms pass in the register
    Then no member counts the spare among its learners

  Scenario: One that was taken out tells nothing, and learns that it is out
    Given a register of 3 members with 1 spares
    When member 1 of the register stops for 10 ms
    And member 2 of the register is ordered to replace member 1 once that may be
    And member 1 of the register starts
    And 2000 ms pass in the register
    Then member 1 of the register is a learner, and answers LATER

  Scenario: The store of the revision before starts under this one
    Given a register of 3 members with 1 spares
    When all stop, and the members' disks hold what the revision before stored
    And all members start again
    Then the register is whole within 2000 ms, and a spare that comes may be taken in
