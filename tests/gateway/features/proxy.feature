Feature: The proxy
  On real sockets, with instances that misbehave by script: the client's response, and how often a request ran.

  Scenario Outline: a <kind> request, with instances that do this in turn: <behaviors>
    Given a proxy on loopback with 2 instances
    When a proxy's client sends a request that is <kind>, and instances do this in turn: <behaviors>
    Then a proxy's client got <status>, and instances received the request <came> times and ran it <ran> times
    And a proxy's client gets its own response to the next request on that connection

    Examples: success, or surely not executed
      | kind   | behaviors                   | status | came | ran |
      | unsafe | well                        | 200    | 1    | 1   |
      | unsafe | by chunks                   | 200    | 1    | 1   |
      | unsafe | early hints                 | 200    | 1    | 1   |
      | unsafe | not found                   | 404    | 1    | 1   |
      | unsafe | full, well                  | 200    | 2    | 1   |
      | unsafe | full without id, well       | 200    | 2    | 1   |
      | unsafe | 400 without id, well        | 200    | 2    | 1   |
      | unsafe | another instance, well      | 200    | 2    | 1   |
      | unsafe | full until it closes, well  | 200    | 2    | 1   |
      | unsafe | full, full                  | 503    | 2    | 0   |
      | safe   | full, full                  | 503    | 2    | 0   |

    Examples: possibly executed
      | kind   | behaviors                   | status | came | ran |
      | safe   | cut short, well             | 200    | 2    | 2   |
      | unsafe | cut short                   | 502    | 1    | 1   |
      | safe   | chunks cut short, well      | 200    | 2    | 2   |
      | unsafe | chunks cut short            | 502    | 1    | 1   |
      | safe   | closes, well                | 200    | 2    | 2   |
      | unsafe | closes                      | 502    | 1    | 1   |
      | unsafe | until it closes             | 502    | 1    | 1   |
      | safe   | until it closes, well       | 200    | 2    | 2   |
      | unsafe | no id                       | 502    | 1    | 1   |
      | unsafe | two ids                     | 502    | 1    | 1   |
      | unsafe | two seals                   | 502    | 1    | 1   |
      | unsafe | well, says it is not run    | 502    | 1    | 1   |
      | unsafe | another protocol            | 502    | 1    | 1   |
      | unsafe | answers half a request      | 502    | 1    | 1   |
      | safe   | resets, well                | 200    | 2    | 2   |
      | unsafe | resets                      | 502    | 1    | 1   |
      | safe   | garbage, well               | 200    | 2    | 2   |
      | unsafe | garbage                     | 502    | 1    | 1   |
      | safe   | no seal, well               | 200    | 2    | 2   |
      | unsafe | no seal                     | 502    | 1    | 1   |
      | safe   | encoded, well               | 200    | 2    | 2   |
      | unsafe | encoded                     | 502    | 1    | 1   |
      | safe   | fails, well                 | 200    | 2    | 2   |
      | safe   | fails, closes               | 500    | 2    | 2   |
      | unsafe | fails                       | 500    | 1    | 1   |
      | unsafe | full, resets                | 502    | 2    | 1   |
      | safe   | resets, full                | 502    | 2    | 1   |
      | unsafe | bare 503                    | 502    | 1    | 1   |
      | unsafe | bare 429                    | 502    | 1    | 1   |
      | unsafe | bare 408                    | 502    | 1    | 1   |
      | safe   | bare 503, well              | 200    | 2    | 2   |
      | safe   | hangs, well                 | 200    | 2    | 2   |
      | unsafe | hangs                       | 504    | 1    | 1   |

    Examples: a complete response with further bytes or events after it
      | kind   | behaviors                   | status | came | ran |
      | unsafe | closes behind it            | 200    | 1    | 1   |
      | unsafe | twice                       | 200    | 1    | 1   |
      | unsafe | garbage behind it           | 200    | 1    | 1   |
      | unsafe | part of one behind it       | 200    | 1    | 1   |
      | unsafe | odd figures                 | 200    | 1    | 1   |

  Scenario: a proxy without configuration or instances rejects requests
    Given a proxy on loopback with 1 instances
    Then a proxy without configuration, and one without instances, rejects requests and sends nothing

  Scenario: a proxy with an instance that never responds
    Given a proxy on loopback with 1 instances
    Then a proxy counts nothing as in flight at an instance that never responds, once the request's deadline has passed

  Scenario: a proxy whose instances accept no connections rejects requests, and nothing runs
    Given a proxy on loopback with 2 instances
    When a proxy's instances stop accepting connections
    And a proxy's client sends a request that is unsafe, and instances do this in turn: well
    Then a proxy's client got 503, and instances received the request 0 times and ran it 0 times

  Scenario: a proxy processes safe requests of one connection concurrently and responds in order
    Given a proxy on loopback with 2 instances
    When a proxy's client pipelines 6 requests that are safe, and instances answer in reverse order once all have arrived
    Then a proxy's client got its own response to each, and each ran once

  Scenario: a proxy processes unsafe requests of one connection one at a time
    Given a proxy on loopback with 2 instances
    When a proxy's client pipelines 6 requests that are unsafe, and instances do this in turn: slow, slow, slow
    Then a proxy's client got its own response to each, and each ran once
    And a proxy's instances processed one request at a time, in the client's order

  Scenario: the timeout of a queued request runs from its arrival
    Given a proxy on loopback with 2 instances
    When a proxy's client sends two unsafe requests at once, with 800 ms for each, and instances hang
    Then a proxy's client got both final responses within 1300 ms, and no instance was told more time than was left

  Scenario: a proxy processes GETs to an unsafe route one at a time
    Given a proxy on loopback with 2 instances
    Then a proxy's client that sends 5 pipelined GETs to an unsafe route has them processed one at a time

  Scenario: a proxy forwards requests unchanged
    Given a proxy on loopback with 1 instances
    Then a proxy forwards a body unchanged, with a length and in chunks, of 0 to 200000 bytes
    And a proxy forwards method, path, query and headers, except hop-by-hop headers

  Scenario: a proxy retries nothing for a client that has left
    Given a proxy on loopback with 2 instances
    Then a proxy holds no state for a client that left while an instance hung

  Scenario: a proxy whose tick raises an error
    Then a proxy ends with that error instead of running on without updates
