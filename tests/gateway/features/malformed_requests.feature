Feature: Malformed requests
  A malformed request is rejected, reaches no instance and holds no resources afterwards.

  Scenario Outline: an untrusted client sends <what>
    Given a proxy on loopback with 1 instances
    When a proxy's untrusted client sends <what>
    Then a proxy's untrusted client gets <status> and is disconnected, no instance receives anything, and others are served

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

  Scenario: untrusted clients send partial requests and invalid headers
    Given a proxy on loopback with 1 instances
    Then a proxy releases all memory of 60 untrusted clients that sent partial requests and left
    And a proxy's client gets its own response despite invalid numbers in its headers
