Feature: The sonde
  Fronts know each other soon, and take nobody for gone who is not.

  Scenario Outline: <fronts> fronts learn of starts, ends and leaves
    Given fronts in the air: <fronts>, with 5 % lost, 3 % doubled and 3 % late, by seed <seed>
    Then fronts all know each other within 10 s
    When fronts' number 2 is killed
    Then fronts leave out number 2 within 7 s
    When fronts' number 2 starts, knowing 3 others
    Then fronts know number 2 within 2 s
    When fronts' number 3 is killed and started again within 300 ms
    Then fronts know number 3 as a new life within 3 s
    When fronts' number 4 leaves
    Then fronts leave out number 4 within 3 s
    And fronts have removed nobody who ran but number 2

    Examples:
      | fronts | seed |
      | 9      | 1    |
      | 9      | 2    |
      | 84     | 3    |

  Scenario Outline: in a bad minute <fronts> fronts remove nobody, and say little
    Given fronts in the air: <fronts>, with 5 % lost, 3 % doubled and 3 % late, by seed <seed>
    Then fronts all know each other within 10 s
    When fronts go on for 60 s
    Then fronts have removed nobody
    And fronts each sent at most 12 datagrams and 1500 bytes a second, and none above 1200 bytes

    Examples:
      | fronts | seed |
      | 9      | 4    |
      | 9      | 5    |
      | 84     | 6    |

  Scenario Outline: a cut of <cut> among <fronts> fronts heals
    Given fronts in the air: <fronts>, with 2 % lost, 0 % doubled and 0 % late, by seed 7
    Then fronts all know each other within 10 s
    When fronts with numbers below <cut> are cut off from the rest
    And fronts go on for <time> s
    Then fronts' number 0 counts <counted>
    When fronts' cut heals
    Then fronts all know each other within 10 s

    Examples:
      | fronts | cut | time | counted |
      | 9      | 4   | 15   | 4       |
      | 9      | 1   | 15   | 9       |
      | 84     | 40  | 15   | 40      |
      | 84     | 1   | 30   | 84      |

  Scenario: a front cut off keeps even those it suspected
    Given fronts in the air: 9, with 0 % lost, 0 % doubled and 0 % late, by seed 14
    Then fronts all know each other within 10 s
    When fronts' number 2 is killed
    And fronts' number 0 suspects number 2, and is then cut off
    And fronts go on for 10 s
    Then fronts' number 0 counts 9
    And fronts' number 0 holds 1 suspect
    When fronts' cut heals
    Then fronts leave out number 2 within 6 s

  Scenario Outline: a slow front removes nobody
    Given fronts in the air: 9, with 2 % lost, 0 % doubled and 0 % late, by seed 8
    Then fronts all know each other within 10 s
    When fronts' number 5 ticks late, by <least> to <most> ms
    And fronts go on for 60 s
    Then fronts' number 5 has removed nobody
    And fronts' number 5 has doubted itself if <least> is above 500
    And fronts other than number 5 have removed none but number 5
    When fronts' number 5 is in time again
    Then fronts all know each other within 15 s

    Examples:
      | least | most |
      | 300   | 500  |
      | 400   | 900  |
      | 600   | 2500 |
      | 2500  | 6000 |

  Scenario: a sonde that slept through a refutation removes nobody
    Given fronts in the air: 9, with 0 % lost, 0 % doubled and 0 % late, by seed 15
    Then fronts all know each other within 10 s
    When a sonde hears that number 3 is suspect, and sleeps for 3 s
    Then fronts all know each other within 1 s
    And fronts have removed nobody

  Scenario: fronts of a slow one that ends are still left out by the others
    Given fronts in the air: 9, with 0 % lost, 0 % doubled and 0 % late, by seed 9
    Then fronts all know each other within 10 s
    When fronts' number 5 ticks late, by 600 to 1500 ms
    And fronts' number 2 is killed
    Then fronts but number 5 leave out number 2 within 6 s

  Scenario: a sonde believes only who answers it
    Given fronts in the air: 9, with 0 % lost, 0 % doubled and 0 % late, by seed 10
    Then fronts all know each other within 10 s
    When a sonde gets a well-formed probe from 10.9.9.9, where nobody answers
    Then a sonde does not believe 10.9.9.9 alive, for 10 s
    When a sonde gets news by a stranger that number 3 is gone, and that 10.9.9.8 lives
    Then a sonde holds number 3 alive, and asks 10.9.9.8 nothing
    When a sonde gets an answer that it did not ask for, from 10.9.9.9
    Then a sonde does not believe 10.9.9.9 alive, for 1 s
    When a sonde asks 10.9.9.6, and 10.9.9.7 answers
    Then a sonde does not believe 10.9.9.6 alive, for 1 s
    And a sonde does not believe 10.9.9.7 alive, for 1 s

  Scenario: a sonde is not changed by what is garbled, foreign or under another's name
    Given fronts in the air: 9, with 0 % lost, 0 % doubled and 0 % late, by seed 11
    Then fronts all know each other within 10 s
    And a sonde is unchanged by 3000 spoiled datagrams
    And a sonde is unchanged by datagrams of others' names

  Scenario: a sonde's state is bounded
    Given fronts in the air: 9, with 0 % lost, 0 % doubled and 0 % late, by seed 12
    Then fronts all know each other within 10 s
    When a sonde hears of 5000 addresses, and gets probes from 5000 others
    Then a sonde holds at most 2000 entries in all, and sends at most 80 datagrams a tick
    And fronts all know each other within 10 s

  Scenario: a sonde whose clock went back between its lives is known
    Given fronts in the air: 9, with 0 % lost, 0 % doubled and 0 % late, by seed 13
    Then fronts all know each other within 10 s
    When fronts' number 2 is killed
    And fronts go on for 1 s
    And fronts' number 2 starts, knowing 3 others, in life 7
    Then fronts know number 2 within 2 s
    When fronts go on for 5 s
    Then fronts all know each other within 1 s
    When fronts' number 4 leaves
    And fronts go on for 3 s
    And fronts' number 4 starts, knowing 3 others, in life 9
    Then fronts know number 4 within 3 s

  Scenario: a sonde whose clock went back is known for a new life before it is missed
    Given fronts in the air: 9, with 0 % lost, 0 % doubled and 0 % late, by seed 16
    Then fronts all know each other within 10 s
    When fronts go on for 10 s
    And fronts' number 2 is killed
    And fronts' number 2 starts, knowing 3 others, in life 7
    Then fronts' number 2 takes a later version than its former life's within 2 s
    And fronts have removed nobody

  Scenario: a budget's share follows the number of fronts
    Given a sonde's budget of ratio 0.2 within 10 s
    Then a sonde's budget of slack 84 has these shares
      | s    | fronts | share |
      | 0    | 42     | 0     |
      | 5    | 42     | 0     |
      | 10   | 42     | 0     |
      | 10.6 | 42     | 1     |
      | 11   | 84     | 0.5   |
      | 12   | 42     | 0.5   |
      | 17   | 42     | 0.5   |
      | 22   | 42     | 0.5   |
      | 22.6 | 42     | 1     |
      | 23   | 1      | 1     |
      | 28   | 1      | 1     |
      | 33   | 2      | 1     |
      | 38   | 2      | 1     |
      | 43   | 2      | 1     |
      | 44   | 2      | 10.5  |
      | 60   | 2      | 10.5  |

  Scenario: a sonde's budgets never spend more than the slack together
    Then a sonde's budgets spend at most the slack in any window, in 20 fleets that start, end and misjudge
