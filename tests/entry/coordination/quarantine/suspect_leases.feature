Feature: Leases of suspects on targets
  Guards against quarantining a harmless request. After a crash, all requests of the target are
  suspects; if entry instances retry two of them on the same target, a second crash counts against
  both.

  Scenario: Entry instances do not run two suspects on one target at the same time
    Given two entry instances that suspect requests "a" and "b"
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then they did not overlap

  Scenario: Suspects run on different targets at the same time
    Given two entry instances that suspect requests "a" and "b"
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e2" at the other
    Then they overlapped

  Scenario: A request that is not suspected does not wait
    Given two entry instances that suspect requests "a" and ""
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then they overlapped

  Scenario: The lease of an instance that crashed expires
    Given two entry instances that suspect requests "a" and "b"
    When an instance crashes while "a" runs on target "e1", and the other sends "b" there
    Then "b" ran 30 to 31 seconds later

  Scenario: A suspect whose write was applied holds the lease although the reply was lost
    Given two entry instances that suspect requests "a" and "b"
    And a table service that loses 1 reply
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then they did not overlap
    And both ran within 5 seconds

  Scenario: Suspects do not wait while the table service is unavailable
    Given two entry instances that suspect requests "a" and "b"
    And a table service that is unavailable
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then they overlapped
    And event 430 was logged for both

  Scenario: Released leases leave no rows
    Given two entry instances that suspect requests "a" and "b"
    When "a" runs for 2 seconds on target "e1" at one instance, and "b" on "e1" at the other
    Then the table service holds no suspect lease

  Scenario: A lease that cannot be released is logged, because other suspects wait until it expires
    Given two entry instances that suspect requests "a" and "b"
    When the table service becomes unavailable while "a" runs on target "e1"
    Then event 432 was logged once
