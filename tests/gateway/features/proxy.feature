Feature: The proxy
  On real sockets, before instances that misbehave on purpose: what the client gets, and how often a request ran.

  Scenario Outline: a proxy before instances that do this in turn: <behaviors> (<kind>)
    Given a proxy on loopback before 2 instances
    When a proxy's client sends a request that is <kind>, and instances do this in turn: <behaviors>
    Then a proxy's client got <status>, and the request came to instances <came> times and ran <ran> times
    And a proxy's client gets its own answer to the next request on that connection

    Examples: well, or sure not to have run
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

    Examples: it may have run
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

    Examples: whole, and more besides
      | kind   | behaviors                   | status | came | ran |
      | unsafe | closes behind it            | 200    | 1    | 1   |
      | unsafe | twice                       | 200    | 1    | 1   |
      | unsafe | garbage behind it           | 200    | 1    | 1   |
      | unsafe | part of one behind it       | 200    | 1    | 1   |
      | unsafe | odd figures                 | 200    | 1    | 1   |

  Scenario: a proxy that has just started guesses nothing
    Given a proxy on loopback before 1 instances
    Then a proxy without configuration, and one without instances, refuses and sends nothing

  Scenario: a proxy before an instance that never answers
    Given a proxy on loopback before 1 instances
    Then a proxy counts nothing as under way at an instance that never answers, once the time of its request is over

  Scenario: a proxy whose instances take no connection refuses, and nothing ran
    Given a proxy on loopback before 2 instances
    When a proxy's instances take no connections any more
    And a proxy's client sends a request that is unsafe, and instances do this in turn: well
    Then a proxy's client got 503, and the request came to instances 0 times and ran 0 times

  Scenario: a proxy works at safe requests of one connection together and answers in their order
    Given a proxy on loopback before 2 instances
    When a proxy's client sends 6 requests that are safe behind one another, and instances answer the last first once all are there
    Then a proxy's client got its own answer to each, and each ran once

  Scenario: a proxy works at unsafe requests of one connection one by one
    Given a proxy on loopback before 2 instances
    When a proxy's client sends 6 requests that are unsafe behind one another, and instances do this in turn: slow, slow, slow
    Then a proxy's client got its own answer to each, and each ran once
    And a proxy's instances had one request at a time, in the client's order

  Scenario: the time of a request that waits behind another runs from its arrival
    Given a proxy on loopback before 2 instances
    When a proxy's client sends two unsafe requests at once, with 800 ms for each, and instances hang
    Then a proxy's client got both final answers within 1300 ms, and no instance was told of more time than was left

  Scenario: a proxy works one by one at requests that look safe on a route that is not
    Given a proxy on loopback before 2 instances
    Then a proxy's client that sends 5 GETs to an unsafe route behind one another has them worked at one by one

  Scenario: a proxy passes requests on unchanged
    Given a proxy on loopback before 1 instances
    Then a proxy passes a body on unchanged, by length and in chunks, of 0 to 200000 bytes
    And a proxy passes method, path, query and headers on, but for those of one connection

  Scenario: a proxy sends nothing on for a client that has left
    Given a proxy on loopback before 2 instances
    Then a proxy's client that leaves while an instance hangs leaves nothing behind

  Scenario: a proxy whose timer meets a broken invariant
    Then a proxy ends with that error, and does not go on deaf to updates
