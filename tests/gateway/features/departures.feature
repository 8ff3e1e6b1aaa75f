Feature: Clients that leave
  What a proxy counts, and what it still does, for a client that leaves before its response.

  Scenario: the proxy counts the requests whose clients left, by kind of departure
    Given a proxy on loopback with 1 instances
    When a proxy's instances hang, and a client with a request that is safe has closed its connection
    And a proxy's instances hang, and a client with a request that is safe has reset its connection
    Then a proxy counts 1 request whose client left by a FIN, and 1 by a reset

  Scenario: no further attempt is sent for a client that has left
    Given a proxy on loopback with 2 instances
    When a proxy's instances hang, and a client with a request that is safe and short has closed its connection
    Then a proxy sends no further attempt for that client until the deadline of its request
    When a proxy's instances reject requests when released, and a client with a request that is unsafe and short has closed its connection
    Then a proxy sends no further attempt for that client until the deadline of its request
    When a client with an unsafe request at an instance and a safe one pipelined after it has closed its connection
    Then a proxy sends no further attempt for that client until the deadline of its request

  Scenario: an idempotent request is aborted when its client leaves
    Given a proxy on loopback with 1 instances
    When a proxy's instances hang, and a client with a request that is safe has closed its connection
    Then a proxy has aborted that request well before its deadline
    When a proxy's instances hang, and a client with a request that is safe has reset its connection
    Then a proxy has aborted that request well before its deadline

  Scenario: a non-idempotent request continues without its client
    Given a proxy on loopback with 1 instances
    When a proxy's instances answer when released, and a client with a request that is unsafe has half-closed its connection
    Then a proxy lets that request continue, and its client can read the response
    When a proxy's instances answer when released, and a client with a request that is unsafe has reset its connection
    Then a proxy lets that request continue, and keeps the connection to its instance

  Scenario: the departure of a client that pipelined more requests than the proxy reads is noticed
    Given a proxy on loopback with 1 instances
    When a client with 24 safe requests at instances that hang has closed its connection
    Then a proxy that sweeps its connections has nothing in progress for it
