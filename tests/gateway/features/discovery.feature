Feature: Discovery of instances
  Members and proxies that received the same records of the instances, in any order, have the same state.

  Scenario: the state of the registry does not depend on the order of the records
    Then the registry converges in 300 random histories with records reordered, duplicated, and lost and repeated

  Scenario: a draining or departed instance never becomes ready again
    Then the registry never lets an instance return from draining or gone in 300 random histories

  Scenario: the registry lists the changes after a sequence number
    Then the registry lists the changes after any sequence number as a reference log does in 200 random histories

  Scenario: the registry marks instances silent only while it is connected to the others
    Then the registry marks the same instances silent as a reference model in 100 random histories

  Scenario: the registry keeps a bounded number of instances
    Then a registry that receives 20001 instances keeps 20000 and still accepts updates of those

  Scenario: the registry of a member that was disconnected lists no outdated instances
    Then the registry of a member reconnected after 31 s lists only instances updated in that time and departing ones
