Feature: Connections to instances
  A proxy keeps a connection to an instance only while each answer on it is sure to be its request's own.

  Scenario Outline: a proxy tells a surplus answer apart that comes late on a kept connection
    Given a proxy on loopback before 1 instances
    When a proxy's client sends 3 requests that are <kind> one after the other, and instances do this in turn: well, <behavior>
    Then a proxy's client got its own answer to each, and each ran once
    And a proxy sent the first 2 on one connection and the third on another

    Examples:
      | kind   | behavior                    |
      | unsafe | the old answer first        |
      | safe   | the old answer first        |
      | unsafe | the old refusal first       |

  Scenario Outline: a proxy uses a kept connection no more on which <what> came while it rested
    Given a proxy on loopback before 1 instances
    Then a proxy whose kept connection got <what> sends the next request on another, and its client gets its own answer

    Examples:
      | what                   |
      | a whole old answer     |
      | a part of an answer    |
      | an interim answer      |
      | an empty line          |
      | the instance's end     |

  Scenario: a proxy takes no answer without an id on a connection that carried another request
    Given a proxy on loopback before 1 instances
    When a proxy's client sends 2 requests that are unsafe one after the other, and instances do this in turn: well, full without id
    Then a proxy's client got 200 and then 502, and each came once

  Scenario: a proxy puts no two requests with one id on one connection
    Given a proxy on loopback before 1 instances
    Then a proxy whose one instance is full asks it again on a new connection
    And a proxy's client that sends one id 3 times has them on 3 connections

  Scenario: a proxy keeps no connection to an address that another instance has
    Given a proxy on loopback before 1 instances
    Then a proxy that was answered 421 has no connection left to that instance

  Scenario: a proxy keeps an instance's connection for the next request, and none that had surplus bytes
    Given a proxy on loopback before 1 instances
    When a proxy's client sends 4 requests that are unsafe behind one another, and instances do this in turn: well, garbage behind it, twice
    Then a proxy's client got its own answer to each, and each ran once
