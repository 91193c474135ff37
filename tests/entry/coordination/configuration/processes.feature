Feature: Configuration in outages, with real processes
  Guards against accepted versions that stay unknown, and against restarts that go back.

  Scenario: The store goes down right after a version was accepted
    Given 6 entry instances
    When an operator adds a key through entry instance 2
    And the store goes down
    Then the version is in force everywhere within 8 s
    And after 10 s every entry instance is ready

  Scenario: An instance restarts in an outage of store and instance list
    Given 3 entry instances
    When an operator adds a key through entry instance 0
    And the store and the instance list go down
    And entry instance 1 restarts with seeds
    Then entry instance 1 is ready within 5 s
    And the version is in force everywhere within 1 s

  Scenario: An instance that reaches neither store nor the others stops claiming readiness
    Given 3 entry instances
    When the store goes down
    And entry instance 0 is killed
    And entry instance 1 is killed
    Then entry instance 2 is not ready within 16 s
