Feature: Catching up costs what differs
  Hundreds of changes while one member is slow, away or ill: it comes back, and nobody waits for it for long.

  Scenario Outline: A member <trouble> while changes go on
    Given a long world of <members> members, with a change of <bytes> bytes each <ms> ms
    When in the long world member <ill> <trouble>
    Then in the long world that member is back within <back> ms
    And in the long world no change waited more than <wait> ms, in at most <views> views, and all is healthy

    Examples:
      | members | bytes  | ms  | ill | trouble                    | wait | views | back |
      | 3       | 0      | 20  | 1   | restarts                   | 1500 | 4     | 2000 |
      | 3       | 0      | 20  | 3   | restarts                   | 1500 | 4     | 2000 |
      | 3       | 0      | 20  | 2   | is away for 1000 changes   | 1500 | 4     | 2000 |
      | 5       | 0      | 20  | 1   | is away for 1000 changes   | 1500 | 4     | 2000 |
      | 3       | 0      | 20  | 1   | loses its disk             | 1500 | 4     | 2500 |
      | 3       | 0      | 20  | 2   | has a disk that hangs      | 2000 | 4     | 2000 |
      | 3       | 0      | 20  | 3   | has a disk that refuses    | 2000 | 4     | 2000 |
      | 3       | 0      | 20  | 2   | has a disk 30 times slower | 500  | 2     | 100  |
      | 3       | 600000 | 200 | 1   | has a disk 30 times slower | 3000 | 4     | 6000 |
      | 3       | 600000 | 200 | 3   | has a disk 30 times slower | 3000 | 4     | 6000 |
      | 3       | 600000 | 200 | 2   | loses its disk             | 2000 | 4     | 3000 |
      | 3       | 600000 | 200 | 3   | restarts                   | 2000 | 4     | 2000 |

  Scenario: A slow disk that is quick for a moment is not taken back again and again
    Then a disk that is slow in every fifth write only is well for a shorter and shorter part of the time

  Scenario: All disks slow at once just work
    Given a long world of 3 members, with a change of 600000 bytes each 2000 ms
    When in the long world every disk is 30 times slower
    Then in the long world the chain stays whole

  Scenario: The head is lost soon after all disks were slow
    Given a long world of 3 members, with a change of 0 bytes each 200 ms
    When in the long world every disk was slow three times, and the head is killed
    Then in the long world changes are acknowledged again within 3000 ms

  Scenario Outline: One changed route costs a front less than 2 KB
    Then one changed route of <routes> is told by at most <bytes> bytes, and comes out byte for byte

    Examples:
      | routes | bytes |
      | 40     | 250   |
      | 400    | 250   |
      | 1400   | 400   |
      | 10000  | 1000  |

  Scenario: What is told by changes is what was sent, whatever is lost on the way
    Then over 60 histories two members take just what the other sent, with frames lost and lives renewed

  Scenario: A member of the revision before gets and sends everything whole
    Then one that never greets is sent texts whole, and its whole texts are taken

  Scenario: Garbled changes are dropped
    Then changes that are garbled in any part come to nothing

  Scenario: A front takes a change, and asks for the whole where it does not come out
    Given a front in which a configuration of 40 routes is in force
    When the front is told the next one by what it changes
    Then the next one is in force in the front
    When the front is told that one again, as another member was asked for it too
    Then the next one is in force in the front, and the one after it may be told by what it changes
    When the front is told one by what it changes against another base
    Then the front asks for the whole, and takes it

  Scenario Outline: A configuration's news comes from one member at once, what presses from all
    Given a front that pulls from 5 members, of which <silent> do not answer
    When the members learn of <what>
    Then the front hears it first within <ms> ms, and within 300 ms from <count> members
    And the front hears it from all members that answer within 1000 ms or needs it no more

    Examples:
      | silent | what            | ms   | count |
      | 0      | a configuration | 70   | 1     |
      | 2      | a configuration | 70   | 1     |
      | 0      | a roll-out      | 70   | 5     |
      | 2      | a roll-out      | 70   | 3     |

  Scenario: A configuration's news does not hang on the member that is to tell it first
    Given a front that pulls from 5 members, of which 0 do not answer
    When the members learn of a configuration, but for the one that the front asks first
    Then the front hears it first within 1000 ms, and within 1000 ms from 4 members

  Scenario Outline: A configuration's body does not hang on members that are gone or behind
    Then a front that asks <members> members, <gone> gone and <behind> behind, holds the newer of two configurations within <ms> ms, <what>

    Examples:
      | members | gone | behind | ms   | what                               |
      | 3       | 1    | 0      | 1000 | as members told it                 |
      | 5       | 2    | 0      | 1000 | as members told it                 |
      | 5       | 1    | 1      | 1000 | as members told it                 |
      | 3       | 0    | 0      | 2000 | though the one asked first is lost |
      | 5       | 1    | 1      | 2000 | though the one asked first is lost |

  Scenario: Members do not tell one another of configurations, the chain does
    Then a member's own pull is not answered for a configuration before its time, and asks for no body
