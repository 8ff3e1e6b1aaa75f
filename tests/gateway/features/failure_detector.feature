Feature: The failure detector of the proxies
  Proxies detect starts and failures quickly, and declare no running proxy dead.

  Scenario Outline: <proxies> proxies detect starts, failures and leaves
    Given failure detectors on <proxies> proxies, with 5 % loss, 3 % duplication and 3 % late datagrams, seed <seed>
    Then the detectors converge within 10 s
    When detector 2 is killed
    Then all detectors have removed 2 within 7 s
    When detector 2 starts, knowing 3 others
    Then all detectors believe 2 alive within 2 s
    When detector 3 is killed and started again within 300 ms
    Then all detectors know that 3 restarted within 3 s
    When detector 4 leaves
    Then all detectors have removed 4 within 3 s
    And the detectors have removed no proxy but 2

    Examples:
      | proxies | seed |
      | 9       | 1    |
      | 9       | 2    |
      | 84      | 3    |

  Scenario Outline: on a lossy network <proxies> proxies remove nobody and send little
    Given failure detectors on <proxies> proxies, with 5 % loss, 3 % duplication and 3 % late datagrams, seed <seed>
    Then the detectors converge within 10 s
    When the detectors run for 60 s
    Then the detectors have removed nobody
    And each detector sent at most 12 datagrams and 1500 bytes a second, and none above 1200 bytes

    Examples:
      | proxies | seed |
      | 9       | 4    |
      | 9       | 5    |
      | 84      | 6    |

  Scenario Outline: a partition of <cut> among <proxies> proxies heals
    Given failure detectors on <proxies> proxies, with 2 % loss, 0 % duplication and 0 % late datagrams, seed 7
    Then the detectors converge within 10 s
    When the detectors below <cut> are partitioned from the rest
    And the detectors run for <time> s
    Then detector 0 counts <counted> members
    When the detectors' partition heals
    Then the detectors converge within 10 s

    Examples:
      | proxies | cut | time | counted |
      | 9       | 4   | 15   | 4       |
      | 9       | 1   | 15   | 9       |
      | 84      | 40  | 15   | 40      |
      | 84      | 1   | 30   | 84      |

  Scenario: an isolated proxy keeps even its suspects as members
    Given failure detectors on 9 proxies, with 0 % loss, 0 % duplication and 0 % late datagrams, seed 14
    Then the detectors converge within 10 s
    When detector 2 is killed
    And detector 0 suspects 2, and is then isolated
    And the detectors run for 10 s
    Then detector 0 counts 9 members
    And detector 0 has 1 suspect
    When the detectors' partition heals
    Then all detectors have removed 2 within 6 s

  Scenario Outline: a stalling proxy removes nobody
    Given failure detectors on 9 proxies, with 2 % loss, 0 % duplication and 0 % late datagrams, seed 8
    Then the detectors converge within 10 s
    When detector 5 stalls for <least> to <most> ms between ticks
    And the detectors run for 60 s
    Then detector 5 has removed nobody
    And detector 5 has noticed that it stalled if <least> is above 500
    And the detectors other than 5 have removed no proxy but 5
    When detector 5 stops stalling
    Then the detectors converge within 15 s

    Examples:
      | least | most |
      | 300   | 500  |
      | 400   | 900  |
      | 600   | 2500 |
      | 2500  | 6000 |

  Scenario: a proxy that was stalled while a suspicion was refuted removes nobody
    Given failure detectors on 9 proxies, with 0 % loss, 0 % duplication and 0 % late datagrams, seed 15
    Then the detectors converge within 10 s
    When a detector receives an update that 3 is suspect, and stalls for 3 s
    Then the detectors converge within 1 s
    And the detectors have removed nobody

  Scenario: a dead proxy is removed also while another one stalls
    Given failure detectors on 9 proxies, with 0 % loss, 0 % duplication and 0 % late datagrams, seed 9
    Then the detectors converge within 10 s
    When detector 5 stalls for 600 to 1500 ms between ticks
    And detector 2 is killed
    Then all detectors but 5 have removed 2 within 6 s

  Scenario: a proxy becomes a member only by answering a probe
    Given failure detectors on 9 proxies, with 0 % loss, 0 % duplication and 0 % late datagrams, seed 10
    Then the detectors converge within 10 s
    When a detector receives a well-formed ping from 10.9.9.9, where nobody answers
    Then no detector believes 10.9.9.9 alive, for 10 s
    When a detector receives updates from an unknown sender that 3 is dead and 10.9.9.8 is alive
    Then that detector believes 3 alive, and sends nothing to 10.9.9.8
    When a detector receives an unsolicited ACK from 10.9.9.9
    Then no detector believes 10.9.9.9 alive, for 1 s
    When a detector pings 10.9.9.6, and 10.9.9.7 answers
    Then no detector believes 10.9.9.6 alive, for 1 s
    And no detector believes 10.9.9.7 alive, for 1 s

  Scenario: corrupt, foreign and misattributed datagrams change nothing
    Given failure detectors on 9 proxies, with 0 % loss, 0 % duplication and 0 % late datagrams, seed 11
    Then the detectors converge within 10 s
    And a detector is unchanged by 3000 corrupt datagrams
    And a detector is unchanged by misattributed datagrams

  Scenario: a detector's state is bounded
    Given failure detectors on 9 proxies, with 0 % loss, 0 % duplication and 0 % late datagrams, seed 12
    Then the detectors converge within 10 s
    When a detector is given 5000 addresses, and pinged from 5000 others
    Then the detector has at most 2000 entries in all, and sends at most 80 datagrams a tick
    And the detectors converge within 10 s

  Scenario: a proxy that restarts with an earlier clock is recognized
    Given failure detectors on 9 proxies, with 0 % loss, 0 % duplication and 0 % late datagrams, seed 13
    Then the detectors converge within 10 s
    When detector 2 is killed
    And the detectors run for 1 s
    And detector 2 starts, knowing 3 others, with generation 7
    Then all detectors believe 2 alive within 2 s
    When the detectors run for 5 s
    Then the detectors converge within 1 s
    When detector 4 leaves
    And the detectors run for 3 s
    And detector 4 starts, knowing 3 others, with generation 9
    Then all detectors believe 4 alive within 3 s

  Scenario: a restart with an earlier clock is detected before the proxy is removed
    Given failure detectors on 9 proxies, with 0 % loss, 0 % duplication and 0 % late datagrams, seed 16
    Then the detectors converge within 10 s
    When the detectors run for 10 s
    And detector 2 is killed
    And detector 2 starts, knowing 3 others, with generation 7
    Then detector 2 takes a later incarnation than before its restart within 2 s
    And the detectors have removed nobody

  Scenario: a proxy's share of the retry slack follows the number of proxies
    Given a proxy's retry budget of ratio 0.2 within 10 s
    Then the retry budget has these shares of a slack of 84
      | s    | proxies | share |
      | 0    | 42      | 0     |
      | 5    | 42      | 0     |
      | 10   | 42      | 0     |
      | 10.6 | 42      | 1     |
      | 11   | 84      | 0.5   |
      | 12   | 42      | 0.5   |
      | 17   | 42      | 0.5   |
      | 22   | 42      | 0.5   |
      | 22.6 | 42      | 1     |
      | 23   | 1       | 1     |
      | 28   | 1       | 1     |
      | 33   | 2       | 1     |
      | 38   | 2       | 1     |
      | 43   | 2       | 1     |
      | 44   | 2       | 10.5  |
      | 60   | 2       | 10.5  |

  Scenario: the retry budgets of all proxies together never spend more than the slack
    Then retry budgets spend at most the slack in any window, in 20 groups whose proxies start, end and misjudge their number
