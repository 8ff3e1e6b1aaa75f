Feature: Clients that leave
  A client that leaves before its response: what the proxy counts of it, and what it still does for it.

  Scenario: the proxy counts the requests whose clients left, by how they did
    Given a proxy on loopback before 1 instances
    When a proxy's instances hang, and a client with a request that is safe has ended its connection
    And a proxy's instances hang, and a client with a request that is safe has reset its connection
    Then a proxy counts 1 request left by an end, and 1 by a reset
