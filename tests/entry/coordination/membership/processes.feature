Feature: Failures of entry instances, with real processes
  Guards against callers that get the address of a dead instance, and against running instances that
  are removed because of a pause or an unresponsive connection.

  Scenario: A killed instance is marked as dead everywhere
    Given 6 entry instances
    When entry instance 4 is killed
    Then every other entry instance sees 4 as "dead" within 8 s
    And no address list contains entry instance 4

  Scenario: A paused instance is marked as dead and comes back
    Given 4 entry instances
    When entry instance 1 is paused for 10 s
    Then no entry instance saw it as "alive" at the end of the pause
    And every other entry instance sees 1 as "alive" within 12 s

  Scenario: An unresponsive stream is replaced before its peer is suspected
    Given 3 entry instances behind proxies
    When the proxy of entry instance 1 has the faults "silent_to_client" for 2 s
    Then for the next 6 s no entry instance sees 1 as "suspect"

  Scenario: An instance whose replies are lost, but that reaches others, is not marked as dead
    Given 3 entry instances behind proxies
    When the proxy of entry instance 1 has the faults "silent_to_client" for 12 s
    Then during the faults no entry instance saw it as "dead"
    And every other entry instance sees 1 as "alive" within 10 s
