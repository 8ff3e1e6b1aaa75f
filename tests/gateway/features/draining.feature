Feature: A proxy drains
  After SIGTERM a proxy finishes what it has begun. What it can no longer finish it does not begin, and says so.

  Scenario: nothing is begun behind a request that is under way
    Given a proxy on loopback before 2 instances
    When a proxy's client has a request under way, and the proxy is told to drain
    And that client sends another request behind it
    Then a proxy that drains answers the first, closes, and has not begun the other

  Scenario: a request that is whole too late is rejected
    Given a proxy on loopback before 1 instances
    When a proxy's client has sent half of a request, and the proxy is told to drain
    And the rest of that request comes 4 seconds later
    Then a proxy that drains rejects it with 503, and no instance got it

  Scenario: a client that waits before its body is rejected before it sends any
    Given a proxy on loopback before 1 instances
    When a proxy's client has connected, and the proxy has drained for 4 seconds
    And that client sends the head of a request that waits for 100
    Then a proxy that drains rejects it with 503, and no instance got it

  Scenario: the end of the grace leaves no request without an answer
    Given a draining proxy with 3.6 seconds of grace before instances that hang
    Then a proxy that ends answers 504 to what may have run, 503 to what was not whole, and closes
