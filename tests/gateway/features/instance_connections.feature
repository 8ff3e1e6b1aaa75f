Feature: Connections to instances
  A proxy reuses a connection to an instance only while every response on it surely belongs to its request.

  Scenario Outline: a proxy recognizes an unexpected late response on a reused connection
    Given a proxy on loopback with 1 instances
    When a proxy's client sends 3 requests that are <kind> one after the other, and instances do this in turn: well, <behavior>
    Then a proxy's client got its own response to each, and each ran once
    And a proxy sent the first 2 on one connection and the third on another

    Examples:
      | kind   | behavior                |
      | unsafe | the old response first  |
      | safe   | the old response first  |
      | unsafe | the old rejection first |

  Scenario Outline: a proxy does not reuse a connection that received <what> while it was idle
    Given a proxy on loopback with 1 instances
    Then a proxy whose idle connection received <what> sends the next request on another, and its client gets its own response

    Examples:
      | what                    |
      | a complete old response |
      | a part of a response    |
      | an interim response     |
      | an empty line           |
      | the instance's FIN      |

  Scenario: a proxy accepts no response without an id on a connection that carried another request
    Given a proxy on loopback with 1 instances
    When a proxy's client sends 2 requests that are unsafe one after the other, and instances do this in turn: well, full without id
    Then a proxy's client got 200 and then 502, and each request was received once

  Scenario: a proxy never sends two requests with the same id on one connection
    Given a proxy on loopback with 1 instances
    Then a proxy whose only instance is full retries on a new connection
    And a proxy's client that sends the same id 3 times has the requests sent on 3 connections

  Scenario: a proxy keeps no connection to an address that now belongs to another instance
    Given a proxy on loopback with 1 instances
    Then a proxy that got a 421 has no connection left to that instance

  Scenario: a proxy reuses a connection for the next request, unless surplus bytes arrived on it
    Given a proxy on loopback with 1 instances
    When a proxy's client pipelines 4 requests that are unsafe, and instances do this in turn: well, garbage behind it, twice
    Then a proxy's client got its own response to each, and each ran once
