Feature: Catching up costs no more than the differences
  Hundreds of changes are made while a member is slow, away or faulty. It comes back, and no change waits for it for long.

  Scenario Outline: A member <trouble> while changes go on
    Given steady changes of <bytes> bytes at <members> members, one every <ms> ms
    When under steady changes member <faulty> <trouble>
    Then under steady changes that member is back within <back> ms
    And under steady changes no change waited for more than <wait> ms, in at most <views> views, and all members are healthy

    Examples:
      | members | bytes  | ms  | faulty | trouble                    | wait | views | back |
      | 3       | 0      | 20  | 1      | restarts                   | 1500 | 4     | 2000 |
      | 3       | 0      | 20  | 3      | restarts                   | 1500 | 4     | 2000 |
      | 3       | 0      | 20  | 2      | is away for 1000 changes   | 1500 | 4     | 2000 |
      | 5       | 0      | 20  | 1      | is away for 1000 changes   | 1500 | 4     | 2000 |
      | 3       | 0      | 20  | 1      | loses its disk             | 1500 | 4     | 2500 |
      | 3       | 0      | 20  | 2      | has a disk that hangs      | 2000 | 4     | 2000 |
      | 3       | 0      | 20  | 3      | has a disk that refuses    | 2000 | 4     | 2000 |
      | 3       | 0      | 20  | 2      | has a disk 30 times slower | 500  | 2     | 100  |
      | 3       | 600000 | 200 | 1      | has a disk 30 times slower | 3000 | 4     | 6000 |
      | 3       | 600000 | 200 | 3      | has a disk 30 times slower | 3000 | 4     | 6000 |
      | 3       | 600000 | 200 | 2      | loses its disk             | 2000 | 4     | 3000 |
      | 3       | 600000 | 200 | 3      | restarts                   | 2000 | 4     | 2000 |

  Scenario: A slow disk with short fast periods is not readmitted again and again
    Then a disk that is slow in every fifth write is healthy for a shrinking part of the time

  Scenario: All disks may be slow at the same time
    Given steady changes of 600000 bytes at 3 members, one every 2000 ms
    When under steady changes every disk is 30 times slower
    Then under steady changes the chain keeps all members

  Scenario: The head is lost soon after all disks were slow
    Given steady changes of 0 bytes at 3 members, one every 200 ms
    When under steady changes every disk was slow three times, and the head is killed
    Then the steady changes are acknowledged again within 3000 ms

  Scenario Outline: One changed route costs a proxy less than 2 KB
    Then one changed route of <routes> is sent in at most <bytes> bytes, and is decoded byte for byte

    Examples:
      | routes | bytes |
      | 40     | 250   |
      | 400    | 250   |
      | 1400   | 400   |
      | 10000  | 1000  |

  Scenario: Messages sent as deltas are decoded correctly despite losses
    Then over 60 histories two members decode exactly what the other sent, despite lost frames and restarts

  Scenario: A member of the previous revision receives and sends whole texts
    Then a member that announces no texts is sent whole texts, and its whole texts are accepted

  Scenario: Corrupted deltas are dropped
    Then deltas that are corrupted in any part have no effect

  Scenario: A proxy applies a delta, and requests the whole configuration where a delta does not apply
    Given a proxy in which a configuration of 40 routes is in force
    When the proxy receives the next configuration as a delta
    Then the next configuration is in force in the proxy
    When the proxy receives the same delta again, because it asked another member too
    Then the next configuration is in force in the proxy, and the one after it may be sent as a delta
    When the proxy receives deltas that are malformed or have another base
    Then the proxy requests the whole configuration, and applies it

  Scenario Outline: One member reports a new configuration at once, all members report urgent news
    Given a proxy that pulls from 5 members, of which <silent> do not answer
    When the members learn of <news>
    Then the proxy first learns of it within <ms> ms, and from <count> members within 300 ms
    And the proxy learns of it from all members that answer within 1000 ms, or no longer needs it

    Examples:
      | silent | news            | ms | count |
      | 0      | a configuration | 70 | 1     |
      | 2      | a configuration | 70 | 1     |
      | 0      | a roll-out      | 70 | 5     |
      | 2      | a roll-out      | 70 | 3     |

  Scenario: A new configuration is learnt even if the member that is asked first does not know it
    Given a proxy that pulls from 5 members, of which 0 do not answer
    When the members learn of a configuration, but for the one that the proxy asks first
    Then the proxy first learns of it within 1000 ms, and from 4 members within 1000 ms

  Scenario Outline: A configuration's body is fetched although members are gone or behind
    Then a proxy that asks <members> members, <gone> gone and <behind> behind, holds the newer of two configurations within <ms> ms, <condition>

    Examples:
      | members | gone | behind | ms   | condition                            |
      | 3       | 1    | 0      | 1000 | after members reported it            |
      | 5       | 2    | 0      | 1000 | after members reported it            |
      | 5       | 1    | 1      | 1000 | after members reported it            |
      | 3       | 0    | 0      | 2000 | although the one asked first is lost |
      | 5       | 1    | 1      | 2000 | although the one asked first is lost |

  Scenario: Members learn of configurations from the chain, and not from each other's answers
    Then a member's pull is not answered early for a configuration, and requests no body
