Feature: The mast
  On real sockets, before machines that misbehave on purpose: what the client gets, and how often a request ran.

  Scenario Outline: a vane before machines that do this in turn: <manners> (<kind>)
    Given a vane on loopback before 2 machines
    When a vane's client sends a request that is <kind>, and machines do this in turn: <manners>
    Then a vane's client got <status>, and the request came to machines <came> times and ran <ran> times
    And a vane's client gets its own answer to the next request on that connection

    Examples: well, or sure not to have run
      | kind   | manners                     | status | came | ran |
      | unsafe | well                        | 200    | 1    | 1   |
      | unsafe | by chunks                   | 200    | 1    | 1   |
      | unsafe | early hints                 | 200    | 1    | 1   |
      | unsafe | not found                   | 404    | 1    | 1   |
      | unsafe | full, well                  | 200    | 2    | 1   |
      | unsafe | full without id, well       | 200    | 2    | 1   |
      | unsafe | 400 without id, well        | 200    | 2    | 1   |
      | unsafe | another machine, well       | 200    | 2    | 1   |
      | unsafe | full until it closes, well  | 200    | 2    | 1   |
      | unsafe | full, full                  | 503    | 2    | 0   |
      | safe   | full, full                  | 503    | 2    | 0   |

    Examples: it may have run
      | kind   | manners                     | status | came | ran |
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
      | kind   | manners                     | status | came | ran |
      | unsafe | closes behind it            | 200    | 1    | 1   |
      | unsafe | twice                       | 200    | 1    | 1   |
      | unsafe | garbage behind it           | 200    | 1    | 1   |
      | unsafe | part of one behind it       | 200    | 1    | 1   |
      | unsafe | odd figures                 | 200    | 1    | 1   |

  Scenario: a vane that has just started guesses nothing
    Given a vane on loopback before 1 machines
    Then a vane without configuration, and one without machines, refuses and sends nothing

  Scenario: a vane before a machine that never answers
    Given a vane on loopback before 1 machines
    Then a vane counts nothing as under way at a machine that never answers, once the time of its request is over

  Scenario Outline: a vane tells a surplus answer apart that comes late on a kept connection
    Given a vane on loopback before 1 machines
    When a vane's client sends 3 requests that are <kind> one after the other, and machines do this in turn: well, <manner>
    Then a vane's client got its own answer to each, and each ran once
    And a vane sent the first 2 on one connection and the third on another

    Examples:
      | kind   | manner                      |
      | unsafe | the old answer first        |
      | safe   | the old answer first        |
      | unsafe | the old refusal first       |

  Scenario Outline: a vane uses a kept connection no more on which <what> came while it rested
    Given a vane on loopback before 1 machines
    Then a vane whose kept connection got <what> sends the next request on another, and its client gets its own answer

    Examples:
      | what                   |
      | a whole old answer     |
      | a part of an answer    |
      | an interim answer      |
      | an empty line          |
      | the machine's end      |

  Scenario: a vane takes no word without an id on a connection that carried another request
    Given a vane on loopback before 1 machines
    When a vane's client sends 2 requests that are unsafe one after the other, and machines do this in turn: well, full without id
    Then a vane's client got 200 and then 502, and each came once

  Scenario: a vane puts no two requests with one id on one connection
    Given a vane on loopback before 1 machines
    Then a vane whose one machine is full asks it again on a new connection
    And a vane's client that sends one id 3 times has them on 3 connections

  Scenario: a vane keeps no connection to an address that another machine has
    Given a vane on loopback before 1 machines
    Then a vane that was answered 421 has no connection left to that machine

  Scenario: a vane keeps a machine's connection for the next request, and none that had surplus bytes
    Given a vane on loopback before 1 machines
    When a vane's client sends 4 requests that are unsafe behind one another, and machines do this in turn: well, garbage behind it, twice
    Then a vane's client got its own answer to each, and each ran once

  Scenario: a vane whose machines take no connection refuses, and nothing ran
    Given a vane on loopback before 2 machines
    When a vane's machines take no connections any more
    And a vane's client sends a request that is unsafe, and machines do this in turn: well
    Then a vane's client got 503, and the request came to machines 0 times and ran 0 times

  Scenario: a vane works at safe requests of one connection together and answers in their order
    Given a vane on loopback before 2 machines
    When a vane's client sends 6 requests that are safe behind one another, and machines answer the last first once all are there
    Then a vane's client got its own answer to each, and each ran once

  Scenario: a vane works at unsafe requests of one connection one by one
    Given a vane on loopback before 2 machines
    When a vane's client sends 6 requests that are unsafe behind one another, and machines do this in turn: slow, slow, slow
    Then a vane's client got its own answer to each, and each ran once
    And a vane's machines had one request at a time, in the client's order

  Scenario: a vane works one by one at requests that look safe on a route that is not
    Given a vane on loopback before 2 machines
    Then a vane's client that sends 5 GETs to an unsafe route behind one another has them worked at one by one

  Scenario: a vane passes requests on unchanged
    Given a vane on loopback before 1 machines
    Then a vane passes a body on unchanged, by length and in chunks, of 0 to 200000 bytes
    And a vane passes method, path, query and headers on, but for those of one connection

  Scenario: a vane closes connections only behind an answer
    Given a vane on loopback before 1 machines
    Then a vane's client that asks to close gets its answer and the end
    And a vane's client that sends its end behind a request gets its answer and the end
    And a vane that leaves answers what comes, and says that it closes

  Scenario: a vane's end takes no answer with it
    Given a vane on loopback before 1 machines
    Then a vane that leaves reads on behind its end, and its client gets the answer whole
    And a vane reads on behind its end for half a second, whatever its client goes on sending

  Scenario: a vane outlasts clients that go just as it says its end
    Given a vane on loopback before 1 machines
    Then a vane that answers a client, gone in that moment, has closed the connection, and its clock goes on

  Scenario: a vane's clients that wait before their body, and that do not read
    Given a vane on loopback before 1 machines
    Then a vane's client that expects 100 gets it once, and its own answer
    And a vane begins nothing more for a client that does not read, and serves it once it does
    And a vane breaks off clients that do not read, those that hold most first
    And a vane breaks off a client that goes on sending and does not read

  Scenario: a vane sends nothing on for a client that has left
    Given a vane on loopback before 2 machines
    Then a vane's client that leaves while a machine hangs leaves nothing behind

  Scenario Outline: a vane on loopback meets a stranger who sends <what>
    Given a vane on loopback before 1 machines
    When a vane's stranger sends <what>
    Then a vane's stranger gets <status> and the end, no machine gets anything, and others are served

    Examples:
      | what                     | status |
      | a huge head              | 431    |
      | garbage                  | 400    |
      | two lengths              | 400    |
      | a length and chunks      | 400    |
      | garbled chunks           | 400    |
      | an odd coding            | 501    |
      | too large a body         | 413    |
      | a header over two lines  | 400    |
      | half a head, and waits   | 408    |
      | two hosts                | 400    |
      | no host                  | 400    |
      | two ids                  | 400    |
      | no id                    | 400    |
      | an empty id              | 400    |
      | a space before a colon   | 400    |
      | bare line ends           | 400    |
      | a bare end in a header   | 400    |
      | control characters       | 400    |
      | a garbled trailer        | 400    |
      | a bare end in a chunk    | 400    |
      | a sign in a length       | 400    |
      | a list of lengths        | 400    |
      | chunks in HTTP/1.0       | 400    |
      | a connect                | 400    |
      | an absolute target       | 404    |
      | two codings              | 501    |

  Scenario: a vane on loopback meets strangers who send halves
    Given a vane on loopback before 1 machines
    Then a vane gives all memory back of 60 strangers who sent halves and left
    And a vane's client gets its own answer to odd figures in its headers

  Scenario: a vane's post outlasts garbled frames
    Given a vane on loopback before 1 machines
    Then a vane's post ends the lines of strangers who send garbled frames
    And a vane's post takes messages of odd kinds from strangers, and nothing comes of them
    And a vane's post holds a bounded number of lines, and of bytes partly read

  Scenario: a vane whose clock meets a broken invariant
    Then a vane ends with that error, and does not go on deaf to news
