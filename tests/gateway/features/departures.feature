Feature: Clients that leave
  A client that leaves before its response: what the proxy counts of it, and what it still does for it.

  Scenario: the proxy counts the requests whose clients left, by how they did
    Given a proxy on loopback before 1 instances
    When a proxy's instances hang, and a client with a request that is safe has ended its connection
    And a proxy's instances hang, and a client with a request that is safe has reset its connection
    Then a proxy counts 1 request left by an end, and 1 by a reset

  Scenario: nothing more is sent for a client that has left
    Given a proxy on loopback before 2 instances
    When a proxy's instances hang, and a client with a request that is safe and short has ended its connection
    Then a proxy sends nothing more for that client, until the time of its request is over
    When a proxy's instances turn requests away when released, and a client with a request that is unsafe and short has ended its connection
    Then a proxy sends nothing more for that client, until the time of its request is over
    When a client with an unsafe request at an instance and a safe one behind it has ended its connection
    Then a proxy sends nothing more for that client, until the time of its request is over

  Scenario: the run of a repeatable request ends with its client's connection
    Given a proxy on loopback before 1 instances
    When a proxy's instances hang, and a client with a request that is safe has ended its connection
    Then a proxy has broken that run off well before its deadline
    When a proxy's instances hang, and a client with a request that is safe has reset its connection
    Then a proxy has broken that run off well before its deadline

  Scenario: the run of a request that may not be repeated goes on without its client
    Given a proxy on loopback before 1 instances
    When a proxy's instances answer when released, and a client with a request that is unsafe has ended its sending
    Then a proxy lets that run go on, and its client can read the response
    When a proxy's instances answer when released, and a client with a request that is unsafe has reset its connection
    Then a proxy lets that run go on, and keeps the connection to its instance

  Scenario: a client that leaves more requests than are read is noticed
    Given a proxy on loopback before 1 instances
    When a client with 24 safe requests at instances that hang has ended its connection
    Then a proxy that looks after its connections has nothing under way for it
