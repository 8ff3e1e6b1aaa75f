Feature: Settings, configurations and routes
  What is invalid is refused by the name of what holds it, and what is valid is never refused.

  Scenario: a configuration as printed is taken
    Given a configuration as printed
    Then a configuration check finds nothing
    And a configuration check in steps and one by the slow rules alone agree

  Scenario Outline: a configuration is refused for <why>
    Given a configuration as printed
    When a configuration has "<path>" set to <value>
    Then a configuration check finds fault with "<where>" at "<key>"
    And a configuration check in steps and one by the slow rules alone agree

    Examples:
      | why                          | path                        | value                      | where         | key           |
      | an unknown service           | routes.one.service          | "who"                      | route one     | service       |
      | an unknown one beside a mix  | routes.two.service          | "who"                      | route two     | service       |
      | an unknown one in a mix      | routes.two.mix.1.service    | "who"                      | route two     | mix.1.service |
      | an unknown one of no weight  | routes.two.mix              | [{"service":"a","gain":1},{"service":"who","gain":0}] | route two | mix.1.service |
      | a weight below 0             | routes.two.mix.1.gain       | -1                         | route two     | mix.1.gain    |
      | a weight a little below 0    | routes.two.mix.0.gain       | -0.001                     | route two     | mix.0.gain    |
      | a weight in words            | routes.two.mix.0.gain       | "90"                       | route two     | mix.0.gain    |
      | a weight of true             | routes.two.mix.0.gain       | true                       | route two     | mix.0.gain    |
      | no weight                    | routes.two.mix.0            | {"service":"a"}            | route two     | mix.0.gain    |
      | weights that are all 0       | routes.two.mix              | [{"service":"a","gain":0}] | route two     | mix           |
      | an empty mix                 | routes.two.mix              | []                         | route two     | mix           |
      | a mix by name                | routes.two.mix              | {"a":90,"b":10}            | route two     | mix           |
      | neither service nor mix      | routes.one.service          | null                       | route one     | service       |
      | 0 tries                      | routes.one.tries            | 0                          | route one     | tries         |
      | tries below 0                | routes.one.tries            | -1                         | route one     | tries         |
      | an odd kind                  | routes.one.kind             | "sometimes"                | route one     | kind          |
      | a kind in capitals           | routes.one.kind             | "SAFE"                     | route one     | kind          |
      | a kind that is a list        | routes.one.kind             | ["safe"]                   | route one     | kind          |
      | no kind                      | routes.one.kind             | null                       | route one     | kind          |
      | a setpoint a minute above    | routes.one.setpointS        | 60.8                       | route one     | setpointS     |
      | a setpoint an hour above     | routes.one.setpointS        | 3600                       | route one     | setpointS     |
      | a setpoint in words          | routes.one.setpointS        | "0.3"                      | route one     | setpointS     |
      | a horizon of 0               | routes.one.horizonS         | 0                          | route one     | horizonS      |
      | a horizon below 0            | routes.one.horizonS         | -0.5                       | route one     | horizonS      |
      | a horizon in words           | routes.one.horizonS         | "0.8"                      | route one     | horizonS      |
      | a horizon of no end          | routes.one.horizonS         | 1e999                      | route one     | horizonS      |
      | no horizon                   | routes.one.horizonS         | null                       | route one     | horizonS      |
      | a prefix with no end         | routes.one.prefix           | "/puka111"                 | route one     | prefix        |
      | a prefix with no beginning   | routes.one.prefix           | "puka111/"                 | route one     | prefix        |
      | a host that is a number      | routes.one.host             | 7                          | route one     | host          |
      | a place that is taken        | routes.three                | {"host":"JEPU9.example:80","prefix":"/puka111/","kind":"safe","horizonS":1,"service":"a"} | route three | prefix |
      | a route that is a list       | routes.one                  | []                         | route one     |               |
      | routes in a list             | routes                      | []                         |               | routes        |
      | no services                  | services                    | null                       |               | services      |
      | services in a list           | services                    | ["a","b","c"]              |               | services      |
      | a service that is a number   | services.b                  | 7                          | service b     |               |
      | a saturation in words        | services.b.saturation       | "many"                     | service b     | saturation    |
      | a probe that is a number     | services.b.probe            | 1                          | service b     | probe         |
      | a revision of seven digits   | revision                    | "0000007"                  |               | revision      |
      | a revision with a sign       | revision                    | "+0000007"                 |               | revision      |
      | a revision in wide digits    | revision                    | "0000000７"                |               | revision      |
      | a revision that is a number  | revision                    | 7                          |               | revision      |
      | no revision                  | revision                    | null                       |               | revision      |
      | an envelope in a list        | envelope                    | [16384]                    |               | envelope      |
      | an envelope in words         | envelope.idleS              | "15"                       |               | envelope.idleS |

  Scenario Outline: a configuration is taken with <what>
    Given a configuration as printed
    When a configuration has "<path>" set to <value>
    Then a configuration check finds nothing
    And a configuration check in steps and one by the slow rules alone agree

    Examples:
      | what                           | path                   | value                                   |
      | a field of a later day         | later                  | {"x":[1,null]}                          |
      | one in a route                 | routes.one.later       | [1,2]                                   |
      | one in a mix                   | routes.two.mix.0.later | "x"                                     |
      | one in a service               | services.a.later       | null                                    |
      | one in the envelope            | envelope.later         | {"y":"z"}                               |
      | no envelope                    | envelope               | null                                    |
      | an empty envelope              | envelope               | {}                                      |
      | part of an envelope            | envelope               | {"idleS":0.5}                           |
      | a route of the least           | routes.one             | {"host":"h","prefix":"/","kind":"unsafe","horizonS":1,"service":"b"} |
      | a service of nothing           | services.b             | {}                                      |
      | a priority of null             | routes.one.priority    | null                                    |
      | a priority with a fraction     | routes.one.priority    | 0.5                                     |
      | tries as a fraction            | routes.one.tries       | 2.0                                     |
      | many tries                     | routes.one.tries       | 99                                      |
      | a setpoint nearly a minute above | routes.one.setpointS | 60.799                                  |
      | a setpoint above its horizon   | routes.one.setpointS   | 3                                       |
      | a setpoint of 0                | routes.one.setpointS   | 0                                       |
      | a whole horizon                | routes.one.horizonS    | 2                                       |
      | a weight of 0 among others     | routes.two.mix.1.gain  | 0                                       |
      | a weight that is a fraction    | routes.two.mix.1.gain  | 0.25                                    |
      | a service beside a mix         | routes.two.service     | "c"                                     |
      | a service named as numbers are | services.7             | {"probe":"/p","saturation":1}           |
      | a service in no route          | services.z             | {"probe":"/p","protocol":"h1"}          |
      | a prefix in a prefix           | routes.three           | {"host":"jepu9.example","prefix":"/puka111/x/","kind":"safe","horizonS":1,"service":"a"} |
      | a prefix on another host       | routes.three           | {"host":"other","prefix":"/puka111/","kind":"safe","horizonS":1,"service":"a"} |
      | no routes                      | routes                 | {}                                      |
      | a revision in capitals         | revision               | "FFFFFFFF"                              |

  Scenario: a configuration that cannot be read whole is refused
    Given a configuration as printed
    Then a configuration cut short anywhere is refused
    And a configuration of these bytes is refused
      | bytes                                         |
      |                                               |
      | []                                            |
      | "revision"                                    |
      | {"revision":"00000007","routes":{},"services":{}}x |
      | {"revision":"00000007","routes":{},"services":{},"x":NaN} |
      | {"revision":"00000007","revision":"00000008","routes":{},"services":{}} |
      | {"revision":"00000007","routes":{},"routes":{},"services":{}} |
    And a configuration of broken text, or of brackets without end, is refused

  Scenario: a configuration checked fast is checked as cerberus does
    Then a configuration spoiled by chance is judged alike both ways, 300 times
    And a configuration of 1500 routes is checked in steps

  Scenario: the routes compiled from a configuration hold what it says
    Given a configuration as printed
    Then the routes have revision 7, and these values
      | name | host           | prefix    | idempotent  | timeout_us | latency_target_us | priority | max_attempts | weighted_services                        |
      | one  | jepu9.example  | /puka111/ | False | 800000     | 300000      | 1        | 2     | (('a', 1.0),)              |
      | two  | hulo84.example | /leny950/ | True  | 600000     | 250000      | 2        | 2     | (('a', 0.9), ('b', 0.1))   |
    And the routes' client limits are 16384 bytes, 67108864 bytes, 3000000 us and 15000000 us
    When a configuration has "envelope" set to {"idleS":0.25}
    Then the routes' client limits are 16384 bytes, 67108864 bytes, 3000000 us and 250000 us
    When a configuration has "routes.one" set to {"host":"h","prefix":"/","kind":"unsafe","horizonS":1,"service":"b"}
    And a configuration has "services.b" set to {}
    Then the routes have revision 7, and these values
      | name | host | prefix | idempotent  | timeout_us | latency_target_us | priority | max_attempts | weighted_services           |
      | one  | h    | /      | False | 1000000    | 1000000     | 0        | 1     | (('b', 1.0),) |

  Scenario Outline: the routes answer <path> of <host> with <route>
    Given a configuration as printed
    When a configuration has "routes.deep" set to {"host":"hulo84.example","prefix":"/leny950/2f/","kind":"safe","horizonS":1,"service":"c"}
    Then the routes find "<route>" for "<host>" and "<path>"

    Examples:
      | host               | path               | route |
      | hulo84.example     | /leny950/2f        | two   |
      | hulo84.example     | /leny950/2f/       | deep  |
      | hulo84.example     | /leny950/2f/a/b    | deep  |
      | hulo84.example     | /leny950/2fa/b     | two   |
      | hulo84.example     | /leny950/          | two   |
      | hulo84.example     | /leny950           | none  |
      | hulo84.example     | /leny950?/2f/      | none  |
      | hulo84.example     | /leny950/?x=/2f/   | two   |
      | hulo84.example     | /leny9500/         | none  |
      | hulo84.example     | /Leny950/          | none  |
      | hulo84.example     | /x/leny950/        | none  |
      | hulo84.example     | /                  | none  |
      | hulo84.example     | *                  | none  |
      | HULO84.Example:81  | /leny950/2f        | two   |
      | jepu9.example      | /leny950/2f        | none  |
      | jepu9.example      | /puka111/          | one   |
      | unknown.example    | /puka111/          | none  |
      | [::1]:80           | /puka111/          | none  |

  Scenario: the routes agree with a search of all of them
    Then the routes of 60 tables drawn by chance find what a plain search finds

  Scenario: the routes share traffic by weight
    Given a configuration as printed
    When a configuration has "routes.two.mix" set to [{"service":"a","gain":3},{"service":"b","gain":0},{"service":"c","gain":1},{"service":"a","gain":0}]
    Then the routes send "two" to "a" below 0.75 and to "c" from there

  Scenario: the routes cost little
    Then the routes of 1500 entries take less than 1.5 MB
    And the routes are compiled without loading cerberus

  Scenario Outline: the routes of <a> come after those of <b>: <after>
    Then the routes of revision "<a>" are newer than those of "<b>": <after>

    Examples:
      | a        | b        | after |
      | 0000000c | 00000007 | yes   |
      | 00000010 | 0000000f | yes   |
      | 0000000C | 0000000c | no    |
      | 00000007 | 0000000c | no    |
      | 00000000 | none     | yes   |
      | none     | none     | no    |

  Scenario: settings as printed are read
    Given settings as printed
    Then settings read have these values
      | field         | value                                      |
      | name          | 'core-midtbyen-1'                          |
      | machine_class | 'core'                                     |
      | serves        | ('controller',)                            |
      | port_range    | (7620, 7635)                               |
      | seeds         | ('10.1.0.18:8649', '10.2.0.45:8649')       |
      | cold_start    | True                                       |
      | quorum_member | True                                       |
      | data_dir      | '/data/my-core'                            |
      | heartbeat_interval_us | 1500000                                    |
      | invariants    | ('base', 'drain')                          |
      | zones         | {'midtbyen': 'trondelag'}                  |
      | listen        | {'control': ('10.1.0.18', 8649)}           |
      | memory_mb     | 296                                        |
      | descriptors   | 4096                                       |
      | cpu_share     | 0.86                                       |
      | cores         | 3                                          |
      | disk_mb       | 256                                        |
      | tolerated_machine_losses | 1                                          |
    And settings have margins drainS of 2500000 us, absentS of 1250000 us by default, and exposure of 0.1
    And settings have a margin fenced that is true

  Scenario Outline: settings with <what> are read
    Given settings as printed
    When settings have the line "<line>" in place of "<key>"
    Then settings read have these values
      | field   | value   |
      | <field> | <value> |

    Examples:
      | what              | key           | line                            | field    | value            |
      | a field of later  | discovery     | later = { x = [1] }             | cold_start | True             |
      | no dataDir        | dataDir       |                                 | data_dir | None             |
      | no invariants     | invariants    |                                 | invariants | ()             |
      | margins in a line | margins       | margins = 'aS=3, bS = 2.5,c=true' | margins | {'aS': 3.0, 'bS': 2.5, 'c': True} |
      | a margin in words | margins       | margins = ['aS=3','mode=x','bare'] | margins | {'aS': 3.0} |
      | a whole period    | periodS       | periodS = 2                     | heartbeat_interval_us | 2000000         |
      | no seeds          | seeds         | seeds = []                      | seeds    | ()               |

  Scenario Outline: settings with <what> are a fault
    Given settings as printed
    When settings have the line "<line>" in place of "<key>"
    Then settings read find fault at "<fault>"

    Examples:
      | what                | key         | line                   | fault          |
      | no name             | nodeName    |                        | nodeName       |
      | no ports            | portRange   |                        | portRange      |
      | ports that fall     | portRange   | portRange = [7635,7620] | portRange     |
      | one port            | portRange   | portRange = [7620]     | portRange      |
      | a seed with no port | seeds       | seeds = ['10.1.0.18']  | seeds.0        |
      | an odd flag         | coldStart   | coldStart = 'true'     | coldStart      |
      | a period of no end  | periodS     | periodS = inf          | periodS        |
      | a period of 0       | periodS     | periodS = 0            | periodS        |
      | an odd address      | control     | control = '10.1.0.18:x' | listen.control |
      | memory in words     | memoryMb    | memoryMb = 'much'      | envelope.memoryMb |
      | half a line         | cores       | cores =                |                |

  Scenario: settings that are not there are a fault
    Then settings read from a place that is not there are a fault
