Feature: The HTTP API
  Calls of instances and operators are dispatched by path, bounded in size, and never cause an internal error.

  Scenario Outline: a controller's HTTP API answers <method> <path> with <status>
    Then a controller's HTTP API answers <method> "<path>" with <status> and passes on "<name>"

    Examples:
      | method | path                      | status | name |
      | POST   | /Plants.Heartbeat/i-1     | 200    | i-1  |
      | POST   | /Plants.Heartbeat/i é     | 200    | i é  |
      | POST   | /Plants.Leave/i-1         | 200    | i-1  |
      | GET    | /Plants.Heartbeat/i-1     | 405    |      |
      | PUT    | /Plants.Leave/i-1         | 405    |      |
      | POST   | /Plants.Heartbeat/        | 404    |      |
      | POST   | /Plants.Heartbeat         | 404    |      |
      | POST   | /Plants.Heartbeat/a/b     | 404    |      |
      | POST   | /plants.heartbeat/i-1     | 404    |      |
      | POST   | /                         | 404    |      |
      | POST   |                           | 404    |      |
      | GET    | /Config.Replace           | 405    |      |
      | POST   | /Config.Replace/x         | 404    |      |
      | POST   | /call                     | 404    |      |

  Scenario: a controller's HTTP API limits the size of bodies, and handles callers that disconnect
    Then a controller's HTTP API accepts a body of 6291456 bytes in parts and refuses one byte more with 413
    And a controller's HTTP API calls no handler if the caller disconnects before the end of the body
    And a controller's HTTP API handles startup and shutdown of its server

  Scenario Outline: a controller refuses a heartbeat with <field> <value>
    Then a controller answers a heartbeat whose <field> is <value> with 400, and registers no instance

    Examples:
      | field        | value             |
      | service      | missing           |
      | service      | ""                |
      | service      | 7                 |
      | service      | ["s"]             |
      | address      | missing           |
      | address      | "10.0.0.1"        |
      | address      | ":80"             |
      | address      | "10.0.0.1:"       |
      | address      | "10.0.0.1:0"      |
      | address      | "10.0.0.1:65536"  |
      | address      | "10.0.0.1:-1"     |
      | address      | "10.0.0.1:\u00b2" |
      | address      | null              |
      | zone         | missing           |
      | zone         | {}                |
      | revision     | missing           |
      | revision     | 1                 |
      | state        | missing           |
      | state        | "gone"            |
      | state        | null              |
      | state        | ["ready"]         |
      | state        | {}                |
      | capacity     | -1                |
      | capacity     | "6"               |
      | capacity     | true              |
      | capacity     | NaN               |
      | capacity     | 1e999             |
      | capacity     | null              |
      | warmupLeftS  | -0.5              |
      | warmupLeftS  | Infinity          |
      | warmupLeftS  | []                |
      | sample       | -1                |
      | sample       | 1e16              |
      | sample       | "4"               |

  Scenario: a controller refuses bodies that are not heartbeats
    Then a controller answers these heartbeats with 400, and registers no instance
      | body                          |
      |                               |
      | []                            |
      | null                          |
      | "ready"                       |
      | {                             |
      | {"service":"s"}               |
    And a controller answers heartbeats with invalid UTF-8, deep nesting or an overlong id with 400

  Scenario: a controller accepts heartbeats as documented, and without optional fields
    Then a controller accepts a documented heartbeat, a minimal one, and one with an unknown field

  Scenario: a controller refuses malformed changes of the replica set
    Then a controller answers these changes of the replica set with 400
      | body                                |
      | x                                   |
      | []                                  |
      | {}                                  |
      | {"add": 1}                          |
      | {"add": "", "remove": ""}           |
      | {"add": ["10.0.0.1"]}               |
      | {"add": "10.0.0.1", "dry": "yes"}   |
      | {"remove": null}                    |
