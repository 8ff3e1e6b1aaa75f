Feature: the operators' command line, its output and exit statuses

  Scenario: the command line names what is wrong with a configuration
    Given the command line has a sound configuration in "c.json"
    When the command line is "check configuration c.json"
    Then the command line ends with 0 and says "sound, revision 0000000c, 1 routes"
    When the command line has "tries" of its route set to 0 in "c.json"
    And the command line is "check configuration c.json"
    Then the command line ends with 2 and complains in one line "route r: tries: min value is 1"
    When the command line has "service" of its route set to "z" in "c.json"
    And the command line is "check configuration c.json"
    Then the command line ends with 2 and complains in one line "route r: service: names an unknown service, z"
    When the command line is "check configuration absent.json"
    Then the command line ends with 2 and complains in one line "No such file"

  Scenario: the command line names what is wrong with settings
    Given the command line has sound settings in "s.toml"
    When the command line is "check settings s.toml"
    Then the command line ends with 0 and says "sound, core-1 in north"
    When the command line has "portRange = [2,1]" added on top of "s.toml"
    And the command line is "check settings s.toml"
    Then the command line ends with 2 and complains in one line "settings: portRange: must not fall"
    When the command line is "check settings absent.toml"
    Then the command line ends with 2 and complains in one line "No such file"

  Scenario Outline: the command line "<words>" is bad input
    When the command line is "<words>"
    Then the command line ends with 2 and complains in one line "<fault>"

    Examples:
      | words                                     | fault                    |
      | nothing                                   | Unknown command          |
      | configuration read                        | --at                     |
      | configuration read --at 127.0.0.1         | ip:port                  |
      | configuration read --at 127.0.0.1:0       | ip:port                  |
      | rollout begin a v2 --at 127.0.0.1:1       | --ramp-s                 |
      | rollout begin a v2 --ramp-s x --at 1.1.1.1:1 | --ramp-s              |

  Scenario Outline: the command line "<words>" asks and says what it was told
    Given the command line meets a core that answers "<call>" with "<told>"
    When the command line is "<words> --at CORE"
    Then the command line ends with <status> and says "<said>"

    Examples:
      | words                            | call                     | told                                   | status | said                 |
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

  Scenario: the command line says why a change of the members is refused
    Given the command line meets a core that answers "POST /Members.Change" with "409 {"error":"would leave 1 of 2"}"
    When the command line is "member remove a --at CORE"
    Then the command line ends with 1 and complains in one line "with 409: would leave 1 of 2"

  Scenario Outline: the command line is refused with <told>
    Given the command line meets a core that answers "POST /Rollouts.Begin" with "<told>"
    When the command line is "rollout begin a v2 --ramp-s 3 --at CORE"
    Then the command line ends with 1 and complains in one line "<fault>"
    And the command line made 1 calls

    Examples:
      | told                          | fault                     |
      | 422 {"error":"no such ramp"}  | with 422: no such ramp    |
      | 404 {"error":"unknown, a"}    | with 404: unknown, a      |
      | 409                           | with 409                  |
      | 400 <html>                    | with 400                  |

  Scenario Outline: the command line moves on from a core that gives <told>
    Given the command line meets a core that answers "GET /Rollouts.Read/a" with "<told>"
    And the command line meets a core that answers "GET /Rollouts.Read/a" with "200 {"state":"running","target":"v2"}"
    When the command line is "rollout read a --at CORE --at CORE"
    Then the command line ends with 0 and says "a running v2"
    And the command line made 2 calls

    Examples:
      | told    |
      | 500     |
      | 503     |
      | 408     |
      | 429     |
      | silence |
      | close   |
      | garble  |

  Scenario: the command line takes a 409 to a repeated order for one under way
    Given the command line meets a core that answers "POST /Rollouts.Begin" with "503"
    And the command line meets a core that answers "POST /Rollouts.Begin" with "409"
    When the command line is "rollout begin a v2 --ramp-s 3 --at CORE --at CORE"
    Then the command line ends with 0 and says "under way"

  Scenario Outline: the command line follows a core's 307 <times> times
    Given the command line meets a core that answers "GET /Rollouts.Read/a" with "200 {"state":"running","target":"v2"}" behind <times> moves
    When the command line is "rollout read a --within-s 0.2 --at CORE"
    Then the command line ends with <status>

    Examples:
      | times | status |
      | 1     | 0      |
      | 2     | 0      |
      | 3     | 3      |

  Scenario: the command line says that nobody answered
    When the command line is "machines --within-s 0.3 --at 127.0.0.1:1 --at 127.0.0.1:2"
    Then the command line ends with 3 and complains in one line "nobody answered; the last: 127.0.0.1:"
    When the command line is "story --at 127.0.0.1:1"
    Then the command line ends with 3 and says "127.0.0.1:1 silent"

  Scenario: the command line checks a configuration before it puts it
    Given the command line has a sound configuration in "c.json"
    And the command line meets a core that answers "POST /Config.Replace" with "200"
    When the command line is "configuration replace c.json --at CORE --within-s 1"
    Then the command line ends with 0 and says "revision 0000000c"
    When the command line has "prefix" of its route set to "x" in "c.json"
    And the command line is "configuration replace c.json --at CORE"
    Then the command line ends with 2 and complains in one line "route r: prefix: must begin and end with a slash"
    And the command line sent "c.json" as it was, once

  Scenario: the command line asks the members that a member names
    Given the command line meets a core that answers "GET /Story" with "200 {"epoch":7,"chain":[],"everyone":["127.0.0.1","127.0.0.2"]}"
    When the command line is "story --at CORE"
    Then the command line ends with 0 and says "chain=none"
    And the command line says "127.0.0.2:"
    And the command line says "silent"

  Scenario: the command line asks the controllers that a controller names
    Given the command line meets a core that answers "GET /Status" with "200 {"epoch":7,"chain":[],"replicaSet":{"addresses":["127.0.0.1","127.0.0.2"]}}"
    When the command line is "status --at CORE"
    Then the command line ends with 0 and says "chain=none"
    And the command line says "127.0.0.2:"
    And the command line says "silent"
    And the command line complains of nothing

  Scenario: the command line says that no controller answered
    When the command line is "instances --within-s 0.3 --at 127.0.0.1:1 --at 127.0.0.1:2"
    Then the command line ends with 3 and complains in one line "nobody answered; the last: 127.0.0.1:"
    When the command line is "status --at 127.0.0.1:1"
    Then the command line ends with 3 and says "127.0.0.1:1 silent"

  Scenario Outline: the command line says that "<words>" is deprecated
    Given the command line meets a core that answers "<call>" with "<told>"
    When the command line is "<words> --at CORE"
    Then the command line ends with 0 and complains in one line "deprecated: <words>, use <replacement>"

    Examples:
      | words    | call          | told                 | replacement |
      | story    | GET /Story    | 200 {"epoch":7}      | status      |
      | machines | GET /Machines | 200 {"machines":{}}  | instances   |

  Scenario: the command line plays a whole gateway, and its head is killed
    When the command line plays "local --kill-head" for at most 30 s
    Then the command line ends with 0 and says "killed core-"
    And the command line says in this order
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

  Scenario: the command line ends what it started when it is told to end, and when it is killed
    When the command line plays "local --stay" until it says "up until", and gets SIGTERM
    Then the command line ends with 0 and says "ended 5 processes"
    And the command line left no process of those it started
    When the command line plays "local --stay" until it says "up until", and gets SIGKILL
    Then the command line left no process of those it started

  Scenario: the command line looks at what is stored, and changes nothing
    Given the command line has a store in "data"
    When the command line is "state verify data"
    Then the command line ends with 0 and says "data: sound, 2 records"
    When the command line has a bit of the store in "data" flipped
    And the command line is "state verify data"
    Then the command line ends with 1 and complains in one line "is not what was written"
    When the command line is "state verify absent"
    Then the command line ends with 2 and complains in one line "absent"

  Scenario: the command line writes the state out, and puts it into a new system
    Given the command line has a sound configuration in "c.json"
    And the command line meets a core that answers "GET /Config.Read" with what is in "c.json"
    When the command line is "state export out.json --at CORE"
    Then the command line ends with 0 and says "out.json: revision 0000000c, 0 roll-outs"
    When the command line is "state import out.json --at CORE --dry-run"
    Then the command line ends with 0 and says "routes: 0 added, 0 removed, 0 changed"
    And the command line says "nothing was"
    When the command line is "state import c.json --at CORE"
    Then the command line ends with 2 and complains in one line "no export of this format"
