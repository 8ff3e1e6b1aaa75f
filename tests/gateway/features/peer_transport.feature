Feature: Peer transport
  Frames from untrusted peers are bounded and have no effect.

  Scenario: a proxy's peer transport survives malformed frames
    Given a proxy on loopback with 1 instances
    Then a proxy's peer transport closes connections of untrusted peers that send malformed frames
    And a proxy's peer transport reads messages of unexpected kinds from untrusted peers, and they have no effect
    And a proxy's peer transport holds a bounded number of connections and of partly read bytes
