Feature: Client connections
  A client gets its complete response however its connection ends; a client that does not read is disconnected.

  Scenario: a proxy closes connections only after a response
    Given a proxy on loopback with 1 instances
    Then a proxy's client that sends Connection: close gets its response, and the connection closes
    And a proxy's client that half-closes after a request gets the response only if it cannot repeat the request
    And a draining proxy answers a new request with Connection: close

  Scenario: a proxy that closes a connection loses no response
    Given a proxy on loopback with 1 instances
    Then a draining proxy keeps reading after its FIN, and its client gets the complete response
    And a proxy reads for half a second after its FIN, even if its client keeps sending

  Scenario: a proxy survives clients that leave just as it sends its FIN
    Given a proxy on loopback with 1 instances
    Then a proxy that answers a client that has just left closes the connection, and its sweeps continue

  Scenario: clients that send Expect: 100-continue, and clients that do not read
    Given a proxy on loopback with 1 instances
    Then a proxy's client that expects 100 gets it once, and its own response
    And a proxy starts no more requests for a client that does not read, and continues once it does
    And a proxy aborts clients that do not read, those with the largest buffers first
    And a proxy aborts a client that keeps sending and does not read
