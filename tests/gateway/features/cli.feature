Feature: the operators' command line, its output and exit statuses

  Scenario: the command line prints the error in a configuration
    Given the command line has a valid configuration in "c.json"
    When the command line runs "check configuration c.json"
    Then the command line exits with 0 and prints "sound, revision 0000000c, 1 routes"
    When the command line has "tries" of its route set to 0 in "c.json"
    And the command line runs "check configuration c.json"
    Then the command line exits with 2 and prints one error line with "route r: tries: min value is 1"
    When the command line has "service" of its route set to "z" in "c.json"
    And the command line runs "check configuration c.json"
    Then the command line exits with 2 and prints one error line with "route r: service: names an unknown service, z"
    When the command line runs "check configuration absent.json"
    Then the command line exits with 2 and prints one error line with "No such file"

  Scenario: the command line prints the error in settings
    Given the command line has valid settings in "s.toml"
    When the command line runs "check settings s.toml"
    Then the command line exits with 0 and prints "sound, core-1 in north"
    When the command line has "portRange = [2,1]" added on top of "s.toml"
    And the command line runs "check settings s.toml"
    Then the command line exits with 2 and prints one error line with "settings: portRange: must not fall"
    When the command line runs "check settings absent.toml"
    Then the command line exits with 2 and prints one error line with "No such file"

  Scenario Outline: the command line "<words>" is bad input
    When the command line runs "<words>"
    Then the command line exits with 2 and prints one error line with "<error>"

    Examples:
      | words                                     | error                    |
      | nothing                                   | Unknown command          |
      | configuration read                        | --at                     |
      | configuration read --at 127.0.0.1         | ip:port                  |
      | configuration read --at 127.0.0.1:0       | ip:port                  |
      | rollout begin a v2 --at 127.0.0.1:1       | --ramp-s                 |
      | rollout begin a v2 --ramp-s x --at 1.1.1.1:1 | --ramp-s              |

  Scenario Outline: the command line "<words>" makes a call and prints the answer
    Given the command line has a controller that answers "<call>" with "<response>"
    When the command line runs "<words> --at CONTROLLER"
    Then the command line exits with <status> and prints "<output>"

    Examples:
      | words                            | call                     | response                               | status | output               |
      | rollout begin a v2 --ramp-s 3    | POST /Rollouts.Begin     | 200                                    | 0      | a to v2              |
      | rollout begin a v2 --ramp-s 3 --key b | POST /Rollouts.Begin | 200                                   | 0      | a to v2              |
      | rollout read a                   | GET /Rollouts.Read/a     | 200 {"state":"running","target":"v2"}  | 0      | a running v2         |
      | rollout watch a                  | GET /Rollouts.Read/a     | 200 {"state":"settled","target":"v2"}  | 0      | s a settled v2       |
      | rollout watch a                  | GET /Rollouts.Read/a     | 200 {"state":"reverted","target":"v2"} | 1      | s a reverted v2      |
      | configuration read               | GET /Config.Read         | 200 {"revision":"0000000c"}            | 0      | "revision":"0000000c" |
      | configuration read --to to.json  | GET /Config.Read         | 200 {"revision":"0000000c"}            | 0      | to.json: revision 0000000c |
      | instances                        | GET /Instances           | 200 {"instances":{"i-1":{"service":"a","address":"1.1.1.1:1","zone":"z","revision":"v1","capacity":1,"state":"ready","heardS":1.25}}} | 0 | i-1 a 1.1.1.1:1 z v1 ready 1.2 |
      | instances                        | GET /Instances           | 200 {"instances":{"i-1":{"service":"","address":"","zone":"","revision":"","capacity":1,"state":"gone","heardS":2}}} | 0 | i-1 - - - - gone 2.0 |
      | instances --service a            | GET /Instances           | 200 {"instances":{"i-1":{"service":"a","address":"1.1.1.1:1","zone":"z","revision":"v1","capacity":1,"state":"ready","heardS":1.25}}} | 0 | i-1 a 1.1.1.1:1 z v1 ready 1.2 |
      | instances --service b            | GET /Instances           | 200 {"instances":{"i-1":{"service":"a","address":"1.1.1.1:1","zone":"z","revision":"v1","capacity":1,"state":"ready","heardS":1.25}}} | 0 |  |
      | status                           | GET /Status              | 200 {"epoch":7,"chain":["a","b"],"role":"out","version":[7,2],"instances":3,"connected":true,"name":"n"} | 0 | n epoch=7 chain=a,b role=out version=7.2 instances=3 connected=true |
      | machines                         | GET /Machines            | 200 {"machines":{"i-1":{"service":"a","address":"1.1.1.1:1","zone":"z","revision":"v1","capacity":1,"state":"ready","heardS":1.25}}} | 0 | i-1 a 1.1.1.1:1 z v1 ready 1.2 |
      | machines --service b             | GET /Machines            | 200 {"machines":{}}                    | 0      |                      |
      | member list                      | GET /Members             | 200 {"set":2,"members":["a","b"],"chain":["a"],"learners":{"c":true},"thin":true,"bear":1,"connected":true} | 1 | c learner ready |
      | member list                      | GET /Members             | 200 {"set":2,"members":["a"],"chain":["a"],"learners":{},"thin":false,"bear":0,"connected":true} | 0 | set=2 members=1 bear=0 thin=false |
      | member replace a b --dry-run     | POST /Members.Change     | 200 {"number":3,"members":["b","c","d"],"up":["b","c"],"bears":0} | 0 | would be set=3 members=b,c,d up=2 of 3 bears=0 |
      | member add b                     | POST /Members.Change     | 200 {"number":3,"members":["b"],"up":["b"],"bears":0} | 0 | in force: set=3 members=b up=1 of 1 bears=0 |
      | member remove a                  | POST /Members.Change     | 200 {"number":3,"members":["b"],"up":["b"],"bears":0} | 0 | in force: set=3 |
      | story                            | GET /Story               | 200 {"epoch":7,"chain":["a","b"],"role":"out","version":[7,2],"machines":3,"connected":true,"name":"n"} | 0 | n epoch=7 chain=a,b role=out version=7.2 machines=3 connected=true |

  Scenario: the command line prints why a change of the members is refused
    Given the command line has a controller that answers "POST /Members.Change" with "409 {"error":"would leave 1 of 2"}"
    When the command line runs "member remove a --at CONTROLLER"
    Then the command line exits with 1 and prints one error line with "with 409: would leave 1 of 2"

  Scenario Outline: the command line reports a refusal with <response>
    Given the command line has a controller that answers "POST /Rollouts.Begin" with "<response>"
    When the command line runs "rollout begin a v2 --ramp-s 3 --at CONTROLLER"
    Then the command line exits with 1 and prints one error line with "<error>"
    And the command line made 1 calls

    Examples:
      | response                      | error                     |
      | 422 {"error":"no such ramp"}  | with 422: no such ramp    |
      | 404 {"error":"unknown, a"}    | with 404: unknown, a      |
      | 409                           | with 409                  |
      | 400 <html>                    | with 400                  |

  Scenario Outline: the command line tries the next controller after <response>
    Given the command line has a controller that answers "GET /Rollouts.Read/a" with "<response>"
    And the command line has a controller that answers "GET /Rollouts.Read/a" with "200 {"state":"running","target":"v2"}"
    When the command line runs "rollout read a --at CONTROLLER --at CONTROLLER"
    Then the command line exits with 0 and prints "a running v2"
    And the command line made 2 calls

    Examples:
      | response |
      | 500     |
      | 503     |
      | 408     |
      | 429     |
      | silence |
      | close   |
      | garble  |

  Scenario: the command line treats a 409 to a retried order as a rollout under way
    Given the command line has a controller that answers "POST /Rollouts.Begin" with "503"
    And the command line has a controller that answers "POST /Rollouts.Begin" with "409"
    When the command line runs "rollout begin a v2 --ramp-s 3 --at CONTROLLER --at CONTROLLER"
    Then the command line exits with 0 and prints "under way"

  Scenario Outline: the command line follows a controller's 307 <times> times
    Given the command line has a controller that answers "GET /Rollouts.Read/a" with "200 {"state":"running","target":"v2"}" after <times> redirects
    When the command line runs "rollout read a --within-s 0.2 --at CONTROLLER"
    Then the command line exits with <status>

    Examples:
      | times | status |
      | 1     | 0      |
      | 2     | 0      |
      | 3     | 3      |

  Scenario: the deprecated commands report that no controller answered
    When the command line runs "machines --within-s 0.3 --at 127.0.0.1:1 --at 127.0.0.1:2"
    Then the command line exits with 3 and prints one error line with "nobody answered; the last: 127.0.0.1:"
    When the command line runs "story --at 127.0.0.1:1"
    Then the command line exits with 3 and prints "127.0.0.1:1 silent"

  Scenario: the command line validates a configuration before it puts it
    Given the command line has a valid configuration in "c.json"
    And the command line has a controller that answers "POST /Config.Replace" with "200"
    When the command line runs "configuration replace c.json --at CONTROLLER --within-s 1"
    Then the command line exits with 0 and prints "revision 0000000c"
    When the command line has "prefix" of its route set to "x" in "c.json"
    And the command line runs "configuration replace c.json --at CONTROLLER"
    Then the command line exits with 2 and prints one error line with "route r: prefix: must begin and end with a slash"
    And the command line sent "c.json" unchanged, once

  Scenario: the deprecated story also calls the controllers that a controller names
    Given the command line has a controller that answers "GET /Story" with "200 {"epoch":7,"chain":[],"everyone":["127.0.0.1","127.0.0.2"]}"
    When the command line runs "story --at CONTROLLER"
    Then the command line exits with 0 and prints "chain=none"
    And the command line prints "127.0.0.2:"
    And the command line prints "silent"

  Scenario: the command line also calls the controllers that a controller names
    Given the command line has a controller that answers "GET /Status" with "200 {"epoch":7,"chain":[],"replicaSet":{"addresses":["127.0.0.1","127.0.0.2"]}}"
    When the command line runs "status --at CONTROLLER"
    Then the command line exits with 0 and prints "chain=none"
    And the command line prints "127.0.0.2:"
    And the command line prints "silent"
    And the command line prints no error lines

  Scenario: the command line reports that no controller answered
    When the command line runs "instances --within-s 0.3 --at 127.0.0.1:1 --at 127.0.0.1:2"
    Then the command line exits with 3 and prints one error line with "nobody answered; the last: 127.0.0.1:"
    When the command line runs "status --at 127.0.0.1:1"
    Then the command line exits with 3 and prints "127.0.0.1:1 silent"

  Scenario Outline: the command line reports that "<words>" is deprecated
    Given the command line has a controller that answers "<call>" with "<response>"
    When the command line runs "<words> --at CONTROLLER"
    Then the command line exits with 0 and prints one error line with "deprecated: <words>, use <replacement>"

    Examples:
      | words    | call          | response             | replacement |
      | story    | GET /Story    | 200 {"epoch":7}      | status      |
      | machines | GET /Machines | 200 {"machines":{}}  | instances   |

  Scenario: the command line runs a whole gateway, and the head of its chain is killed
    When the command line process runs "local --kill-head" for at most 30 s
    Then the command line exits with 0 and prints "killed core-"
    And the command line prints in this order
      | line                          |
      | configuration 00000001 accepted |
      | front-north is ready          |
      | by front-north: 200           |
      | killed core-                  |
      | the chain is                  |
      | configuration 00000001 read   |
      | by front-north: 200           |
      | configuration 00000002 accepted |
      | the chain is                  |
      | configuration 00000002 read   |
      | ended 5 processes             |
    And the command line left no process of those it started

  Scenario: the command line stops its processes when it is terminated, and when it is killed
    When the command line process runs "local --stay" until it prints "up until", and gets SIGTERM
    Then the command line exits with 0 and prints "ended 5 processes"
    And the command line left no process of those it started
    When the command line process runs "local --stay" until it prints "up until", and gets SIGKILL
    Then the command line left no process of those it started

  Scenario: the command line verifies a store without changing it
    Given the command line has a store in "data"
    When the command line runs "state verify data"
    Then the command line exits with 0 and prints "data: sound, 2 records"
    When the command line has a bit of the store in "data" flipped
    And the command line runs "state verify data"
    Then the command line exits with 1 and prints one error line with "is not what was written"
    When the command line runs "state verify absent"
    Then the command line exits with 2 and prints one error line with "absent"

  Scenario: the command line exports the state and imports it
    Given the command line has a valid configuration in "c.json"
    And the command line has a controller that answers "GET /Config.Read" with the content of "c.json"
    When the command line runs "state export out.json --at CONTROLLER"
    Then the command line exits with 0 and prints "out.json: revision 0000000c, 0 roll-outs"
    When the command line runs "state import out.json --at CONTROLLER --dry-run"
    Then the command line exits with 0 and prints "routes: 0 added, 0 removed, 0 changed"
    And the command line prints "nothing was"
    When the command line runs "state import c.json --at CONTROLLER"
    Then the command line exits with 2 and prints one error line with "no export of this format"
