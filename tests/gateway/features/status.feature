Feature: Controller status

  Scenario: the status of a controller matches its deprecated form
    Given a controller whose disk holds a configuration
    Then the controller answers "GET /Status" with the epoch, role and version of "GET /Story"
    And the controller answers "GET /Instances" with the instances of "GET /Machines"
