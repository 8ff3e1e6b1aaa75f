Feature: A proxy drains
  After SIGTERM a proxy finishes the requests it has started, and rejects those that it could no longer finish.

  Scenario: no pipelined request is started after one that is in progress
    Given a proxy on loopback with 2 instances
    When a proxy's client has a request in progress, and the proxy starts to drain
    And that client pipelines another request after it
    Then a draining proxy answers the first, closes, and has not started the other

  Scenario: a request that is complete too late is rejected
    Given a proxy on loopback with 1 instances
    When a proxy's client has sent half of a request, and the proxy starts to drain
    And the rest of that request arrives 4 seconds later
    Then a draining proxy rejects it with 503, and no instance received it

  Scenario: a client that waits for 100 Continue is rejected before it sends its body
    Given a proxy on loopback with 1 instances
    When a proxy's client has connected, and the proxy has drained for 4 seconds
    And that client sends the head of a request with Expect: 100-continue
    Then a draining proxy rejects it with 503, and no instance received it

  Scenario: every request is answered by the end of the grace period
    Given a draining proxy with 3.6 seconds of grace period and instances that hang
    Then a proxy that ends answers 504 to requests that may have run, 503 to partial ones, and closes
