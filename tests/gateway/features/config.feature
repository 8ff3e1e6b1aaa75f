Feature: Settings, configurations and routes
  Invalid input is rejected with the location of the error, and valid input is never rejected.

  Scenario: an example configuration is valid
    Given an example configuration
    Then the configuration is valid
    And a check in steps and a check by cerberus alone give the same result

  Scenario Outline: a configuration is rejected because of <why>
    Given an example configuration
    When the configuration has "<path>" set to <value>
    Then the configuration is invalid in "<location>" at key "<key>"
    And a check in steps and a check by cerberus alone give the same result

    Examples:
      | why                                     | path                     | value                                                                                     | location    | key            |
      | an unknown service                      | routes.one.service       | "who"                                                                                     | route one   | service        |
      | an unknown service beside a mix         | routes.two.service       | "who"                                                                                     | route two   | service        |
      | an unknown service in a mix             | routes.two.mix.1.service | "who"                                                                                     | route two   | mix.1.service  |
      | an unknown service of weight 0          | routes.two.mix           | [{"service":"a","gain":1},{"service":"who","gain":0}]                                     | route two   | mix.1.service  |
      | a weight below 0                        | routes.two.mix.1.gain    | -1                                                                                        | route two   | mix.1.gain     |
      | a weight just below 0                   | routes.two.mix.0.gain    | -0.001                                                                                    | route two   | mix.0.gain     |
      | a weight that is a string               | routes.two.mix.0.gain    | "90"                                                                                      | route two   | mix.0.gain     |
      | a weight that is a boolean              | routes.two.mix.0.gain    | true                                                                                      | route two   | mix.0.gain     |
      | a missing weight                        | routes.two.mix.0         | {"service":"a"}                                                                           | route two   | mix.0.gain     |
      | weights that are all 0                  | routes.two.mix           | [{"service":"a","gain":0}]                                                                | route two   | mix            |
      | an empty mix                            | routes.two.mix           | []                                                                                        | route two   | mix            |
      | a mix that is an object                 | routes.two.mix           | {"a":90,"b":10}                                                                           | route two   | mix            |
      | neither service nor mix                 | routes.one.service       | null                                                                                      | route one   | service        |
      | 0 tries                                 | routes.one.tries         | 0                                                                                         | route one   | tries          |
      | tries below 0                           | routes.one.tries         | -1                                                                                        | route one   | tries          |
      | an unknown kind                         | routes.one.kind          | "sometimes"                                                                               | route one   | kind           |
      | a kind in upper case                    | routes.one.kind          | "SAFE"                                                                                    | route one   | kind           |
      | a kind that is a list                   | routes.one.kind          | ["safe"]                                                                                  | route one   | kind           |
      | a kind of null                          | routes.one.kind          | null                                                                                      | route one   | kind           |
      | a setpoint one minute above its horizon | routes.one.setpointS     | 60.8                                                                                      | route one   | setpointS      |
      | a setpoint one hour above its horizon   | routes.one.setpointS     | 3600                                                                                      | route one   | setpointS      |
      | a setpoint that is a string             | routes.one.setpointS     | "0.3"                                                                                     | route one   | setpointS      |
      | a horizon of 0                          | routes.one.horizonS      | 0                                                                                         | route one   | horizonS       |
      | a horizon below 0                       | routes.one.horizonS      | -0.5                                                                                      | route one   | horizonS       |
      | a horizon that is a string              | routes.one.horizonS      | "0.8"                                                                                     | route one   | horizonS       |
      | an infinite horizon                     | routes.one.horizonS      | 1e999                                                                                     | route one   | horizonS       |
      | a horizon of null                       | routes.one.horizonS      | null                                                                                      | route one   | horizonS       |
      | a prefix without its last slash         | routes.one.prefix        | "/puka111"                                                                                | route one   | prefix         |
      | a prefix without its first slash        | routes.one.prefix        | "puka111/"                                                                                | route one   | prefix         |
      | a host that is a number                 | routes.one.host          | 7                                                                                         | route one   | host           |
      | the host and prefix of another route    | routes.three             | {"host":"JEPU9.example:80","prefix":"/puka111/","kind":"safe","horizonS":1,"service":"a"} | route three | prefix         |
      | a route that is a list                  | routes.one               | []                                                                                        | route one   |                |
      | routes in a list                        | routes                   | []                                                                                        |             | routes         |
      | services of null                        | services                 | null                                                                                      |             | services       |
      | services in a list                      | services                 | ["a","b","c"]                                                                             |             | services       |
      | a service that is a number              | services.b               | 7                                                                                         | service b   |                |
      | a saturation that is a string           | services.b.saturation    | "many"                                                                                    | service b   | saturation     |
      | a probe that is a number                | services.b.probe         | 1                                                                                         | service b   | probe          |
      | a revision of seven digits              | revision                 | "0000007"                                                                                 |             | revision       |
      | a revision with a sign                  | revision                 | "+0000007"                                                                                |             | revision       |
      | a revision with a full-width digit      | revision                 | "0000000７"                                                                                |             | revision       |
      | a revision that is a number             | revision                 | 7                                                                                         |             | revision       |
      | a revision of null                      | revision                 | null                                                                                      |             | revision       |
      | an envelope in a list                   | envelope                 | [16384]                                                                                   |             | envelope       |
      | an envelope value that is a string      | envelope.idleS           | "15"                                                                                      |             | envelope.idleS |

  Scenario Outline: a configuration is accepted with <what>
    Given an example configuration
    When the configuration has "<path>" set to <value>
    Then the configuration is valid
    And a check in steps and a check by cerberus alone give the same result

    Examples:
      | what                              | path                   | value                                                                                    |
      | an unknown field                  | later                  | {"x":[1,null]}                                                                           |
      | an unknown field in a route       | routes.one.later       | [1,2]                                                                                    |
      | an unknown field in a mix         | routes.two.mix.0.later | "x"                                                                                      |
      | an unknown field in a service     | services.a.later       | null                                                                                     |
      | an unknown field in the envelope  | envelope.later         | {"y":"z"}                                                                                |
      | no envelope                       | envelope               | null                                                                                     |
      | an empty envelope                 | envelope               | {}                                                                                       |
      | an incomplete envelope            | envelope               | {"idleS":0.5}                                                                            |
      | a route with required fields only | routes.one             | {"host":"h","prefix":"/","kind":"unsafe","horizonS":1,"service":"b"}                     |
      | an empty service                  | services.b             | {}                                                                                       |
      | a priority of null                | routes.one.priority    | null                                                                                     |
      | a priority with a fraction        | routes.one.priority    | 0.5                                                                                      |
      | tries as a floating-point number  | routes.one.tries       | 2.0                                                                                      |
      | many tries                        | routes.one.tries       | 99                                                                                       |
      | a setpoint nearly a minute above  | routes.one.setpointS   | 60.799                                                                                   |
      | a setpoint above its horizon      | routes.one.setpointS   | 3                                                                                        |
      | a setpoint of 0                   | routes.one.setpointS   | 0                                                                                        |
      | a whole horizon                   | routes.one.horizonS    | 2                                                                                        |
      | a weight of 0 among others        | routes.two.mix.1.gain  | 0                                                                                        |
      | a weight that is a fraction       | routes.two.mix.1.gain  | 0.25                                                                                     |
      | a service beside a mix            | routes.two.service     | "c"                                                                                      |
      | a service whose name is a digit   | services.7             | {"probe":"/p","saturation":1}                                                            |
      | a service in no route             | services.z             | {"probe":"/p","protocol":"h1"}                                                           |
      | a prefix within a prefix          | routes.three           | {"host":"jepu9.example","prefix":"/puka111/x/","kind":"safe","horizonS":1,"service":"a"} |
      | the same prefix on another host   | routes.three           | {"host":"other","prefix":"/puka111/","kind":"safe","horizonS":1,"service":"a"}           |
      | no routes                         | routes                 | {}                                                                                       |
      | a revision in upper case          | revision               | "FFFFFFFF"                                                                               |

  Scenario: a configuration that cannot be decoded is rejected
    Given an example configuration
    Then the configuration is rejected if it is truncated at any position
    And configurations of these bytes are rejected
      | bytes                                                                   |
      |                                                                         |
      | []                                                                      |
      | "revision"                                                              |
      | {"revision":"00000007","routes":{},"services":{}}x                      |
      | {"revision":"00000007","routes":{},"services":{},"x":NaN}               |
      | {"revision":"00000007","revision":"00000008","routes":{},"services":{}} |
      | {"revision":"00000007","routes":{},"routes":{},"services":{}}           |
    And configurations with invalid UTF-8, very deep nesting or a very long number are rejected

  Scenario: the fast path and cerberus give the same result
    Then 300 randomly corrupted configurations get the same result from the fast path and from cerberus alone
    And a configuration of 1500 routes is checked in steps

  Scenario: the routes compiled from a configuration have its values
    Given an example configuration
    Then the routes have revision 7, and these values
      | name | host           | prefix    | idempotent | timeout_us | latency_target_us | priority | max_attempts | weighted_services        |
      | one  | jepu9.example  | /puka111/ | False      | 800000     | 300000            | 1        | 2            | (('a', 1.0),)            |
      | two  | hulo84.example | /leny950/ | True       | 600000     | 250000            | 2        | 2            | (('a', 0.9), ('b', 0.1)) |
    And the routes' client limits are 16384 bytes, 67108864 bytes, 3000000 us and 15000000 us
    When the configuration has "envelope" set to {"idleS":0.25}
    Then the routes' client limits are 16384 bytes, 67108864 bytes, 3000000 us and 250000 us
    When the configuration has "routes.one" set to {"host":"h","prefix":"/","kind":"unsafe","horizonS":1,"service":"b"}
    And the configuration has "services.b" set to {}
    Then the routes have revision 7, and these values
      | name | host | prefix | idempotent | timeout_us | latency_target_us | priority | max_attempts | weighted_services |
      | one  | h    | /      | False      | 1000000    | 1000000           | 0        | 1            | (('b', 1.0),)     |

  Scenario Outline: the route of <path> on <host> is <route>
    Given an example configuration
    When the configuration has "routes.deep" set to {"host":"hulo84.example","prefix":"/leny950/2f/","kind":"safe","horizonS":1,"service":"c"}
    Then the routes find "<route>" for "<host>" and "<path>"

    Examples:
      | host              | path             | route |
      | hulo84.example    | /leny950/2f      | two   |
      | hulo84.example    | /leny950/2f/     | deep  |
      | hulo84.example    | /leny950/2f/a/b  | deep  |
      | hulo84.example    | /leny950/2fa/b   | two   |
      | hulo84.example    | /leny950/        | two   |
      | hulo84.example    | /leny950         | none  |
      | hulo84.example    | /leny950?/2f/    | none  |
      | hulo84.example    | /leny950/?x=/2f/ | two   |
      | hulo84.example    | /leny9500/       | none  |
      | hulo84.example    | /Leny950/        | none  |
      | hulo84.example    | /x/leny950/      | none  |
      | hulo84.example    | /                | none  |
      | hulo84.example    | *                | none  |
      | HULO84.Example:81 | /leny950/2f      | two   |
      | jepu9.example     | /leny950/2f      | none  |
      | jepu9.example     | /puka111/        | one   |
      | unknown.example   | /puka111/        | none  |
      | [::1]:80          | /puka111/        | none  |

  Scenario: the route lookup agrees with a linear search
    Then the routes of 60 random configurations agree with a linear search

  Scenario: a route divides traffic by weight
    Given an example configuration
    When the configuration has "routes.two.mix" set to [{"service":"a","gain":3},{"service":"b","gain":0},{"service":"c","gain":1},{"service":"a","gain":0}]
    Then the route "two" selects "a" for draws below 0.75 and "c" from there

  Scenario: the routes take little memory and load no validator
    Then the routes of 1500 entries take less than 1.5 MB
    And the routes are compiled without loading cerberus

  Scenario Outline: revision <revision> is newer than <other>: <newer>
    Then routes of revision "<revision>" are newer than routes of revision "<other>": <newer>

    Examples:
      | revision | other    | newer |
      | 0000000c | 00000007 | yes   |
      | 00000010 | 0000000f | yes   |
      | 0000000C | 0000000c | no    |
      | 00000007 | 0000000c | no    |
      | 00000000 | none     | yes   |
      | none     | none     | no    |

  Scenario: example settings are valid
    Given example settings
    Then the settings have these values
      | field                    | value                                |
      | name                     | 'core-midtbyen-1'                    |
      | machine_class            | 'core'                               |
      | serves                   | ('controller',)                      |
      | port_range               | (7620, 7635)                         |
      | seeds                    | ('10.1.0.18:8649', '10.2.0.45:8649') |
      | cold_start               | True                                 |
      | quorum_member            | True                                 |
      | data_dir                 | '/data/my-core'                      |
      | heartbeat_interval_us    | 1500000                              |
      | invariants               | ('base', 'drain')                    |
      | zones                    | {'midtbyen': 'trondelag'}            |
      | listen                   | {'control': ('10.1.0.18', 8649)}     |
      | memory_mb                | 296                                  |
      | descriptors              | 4096                                 |
      | cpu_share                | 0.86                                 |
      | cores                    | 3                                    |
      | disk_mb                  | 256                                  |
      | tolerated_machine_losses | 1                                    |
    And the settings have margins drainS of 2500000 us, absentS of 1250000 us by default, and exposure of 0.1
    And the settings have a margin fenced that is true

  Scenario Outline: settings with <what> are valid
    Given example settings
    When the line of "<key>" in the settings is replaced with "<line>"
    Then the settings have these values
      | field   | value   |
      | <field> | <value> |

    Examples:
      | what                         | key        | line                               | field                 | value                             |
      | an unknown field             | discovery  | later = { x = [1] }                | cold_start            | True                              |
      | an absent dataDir            | dataDir    |                                    | data_dir              | None                              |
      | absent invariants            | invariants |                                    | invariants            | ()                                |
      | margins in one string        | margins    | margins = 'aS=3, bS = 2.5,c=true'  | margins               | {'aS': 3.0, 'bS': 2.5, 'c': True} |
      | margins that are not numbers | margins    | margins = ['aS=3','mode=x','bare'] | margins               | {'aS': 3.0}                       |
      | a whole period               | periodS    | periodS = 2                        | heartbeat_interval_us | 2000000                           |
      | an empty list of seeds       | seeds      | seeds = []                         | seeds                 | ()                                |

  Scenario Outline: settings with <what> are invalid
    Given example settings
    When the line of "<key>" in the settings is replaced with "<line>"
    Then the settings are invalid at key "<invalid_key>"

    Examples:
      | what                            | key       | line                    | invalid_key       |
      | a missing name                  | nodeName  |                         | nodeName          |
      | missing ports                   | portRange |                         | portRange         |
      | ports in descending order       | portRange | portRange = [7635,7620] | portRange         |
      | one port                        | portRange | portRange = [7620]      | portRange         |
      | a seed with no port             | seeds     | seeds = ['10.1.0.18']   | seeds.0           |
      | a flag that is a string         | coldStart | coldStart = 'true'      | coldStart         |
      | an infinite period              | periodS   | periodS = inf           | periodS           |
      | a period of 0                   | periodS   | periodS = 0             | periodS           |
      | an address without a valid port | control   | control = '10.1.0.18:x' | listen.control    |
      | memory that is a string         | memoryMb  | memoryMb = 'much'       | envelope.memoryMb |
      | an incomplete line              | cores     | cores =                 |                   |

  Scenario: a missing settings file is an error
    Then settings read from a missing file are invalid
