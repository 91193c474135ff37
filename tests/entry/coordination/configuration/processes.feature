Feature: Configuration during outages, with real processes
  Guards against accepted versions that do not reach all instances, and against restarts with an older
  version.

  Scenario: An outage of the store right after a version was accepted
    Given 6 entry instances
    When an operator adds a key through entry instance 2
    And the store becomes unavailable
    Then the version is in force everywhere within 8 s
    And after 10 s every entry instance is ready

  Scenario: An instance restarts during an outage of the store and the instance list
    Given 3 entry instances
    When an operator adds a key through entry instance 0
    And the store and the instance list become unavailable
    And entry instance 1 restarts with seeds
    Then entry instance 1 is ready within 5 s
    And the version is in force everywhere within 1 s

  Scenario: An instance that reaches neither the store nor its peers becomes unready
    Given 3 entry instances
    When the store becomes unavailable
    And entry instance 0 is killed
    And entry instance 1 is killed
    Then entry instance 2 is not ready within 16 s
