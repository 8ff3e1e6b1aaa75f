Feature: Peer transport
  Frames of strangers are bounded, and nothing comes of them.

  Scenario: a proxy's peer transport outlasts garbled frames
    Given a proxy on loopback before 1 instances
    Then a proxy's peer transport ends the connections of strangers who send garbled frames
    And a proxy's peer transport takes messages of odd kinds from strangers, and nothing comes of them
    And a proxy's peer transport holds a bounded number of connections, and of bytes partly read
