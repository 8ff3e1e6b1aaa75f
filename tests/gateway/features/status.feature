Feature: What a controller says of itself

  Scenario: the status of a controller, and its earlier form
    Given a controller whose disk holds a configuration
    Then the controller answers "GET /Status" with the epoch, role and version of "GET /Story"
    And the controller answers "GET /Instances" with what "GET /Machines" says
