Feature: Turns of suspects
  Guards against an innocent request that is refused because it ran, after its first target died,
  beside the request that crashes targets, at another entry instance.

  Scenario: One suspect at a time runs on a target, over all entry instances
    Given two entry instances that suspect requests "a" and "b"
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then they did not run at the same time

  Scenario: Suspects run on different targets at the same time
    Given two entry instances that suspect requests "a" and "b"
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e2" at the other
    Then they ran at the same time

  Scenario: A request that is not suspected does not wait
    Given two entry instances that suspect requests "a" and ""
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then they ran at the same time

  Scenario: The turn of an instance that died expires
    Given two entry instances that suspect requests "a" and "b"
    When an instance dies while "a" runs on target "e1", and "b" is to run there at the other
    Then "b" ran 30 to 31 seconds later

  Scenario: A lost reply of the table service gives the turn to the suspect that wrote it
    Given two entry instances that suspect requests "a" and "b"
    And a table service that loses 1 reply
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then they did not run at the same time
    And both ran within 5 seconds

  Scenario: Without the table service suspects do not wait
    Given two entry instances that suspect requests "a" and "b"
    And a table service that is away
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then they ran at the same time
    And event 430 was logged for both

  Scenario: No row is left of turns that ended
    Given two entry instances that suspect requests "a" and "b"
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then the table service holds no turn

  Scenario: A turn that cannot be ended is logged, as others wait for it to expire
    Given two entry instances that suspect requests "a" and "b"
    When the table service goes away while "a" runs on target "e1"
    Then event 432 was logged once
