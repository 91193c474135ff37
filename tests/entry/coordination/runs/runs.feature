Feature: Run records
  Guards against a second run of a non-idempotent call, and against a false "not run".

  Scenario: A repeat gets the stored answer
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with an answer of 20 bytes
    And instance 1 claims key "k1" for body "a"
    Then the last claim gives the stored answer of 20 bytes

  Scenario: A large answer goes to the object store
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with an answer of 50000 bytes
    And instance 1 claims key "k1" for body "a"
    Then the last claim gives the stored answer of 50000 bytes

  Scenario: A repeat while the call runs is told so
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 1 claims key "k1" for body "a"
    Then the last claim fails with "still_running" and run state "unknown"

  Scenario: A repeat after the holder died is told that the result is unknown
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And 60 seconds pass
    And instance 1 claims key "k1" for body "a"
    Then the last claim fails with "result_unknown" and run state "unknown"

  Scenario: The same key with another body is refused
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 1 claims key "k1" for body "b"
    Then the last claim is refused with "idempotency_key_reused"

  Scenario: A lost reply of the claim is settled by reading back
    Given a table service and two entry instances
    And the table service loses its next reply
    When instance 0 claims key "k1" for body "a"
    Then the last claim is held
    When instance 1 claims key "k1" for body "a"
    Then the last claim fails with "still_running" and run state "unknown"

  Scenario: A call that was not sent can be claimed again
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as not run
    And instance 1 claims key "k1" for body "a"
    Then the last claim is held

  Scenario: With the table service down the call is refused
    Given a table service and two entry instances
    And the table service is down
    When instance 0 claims key "k1" for body "a"
    Then the last claim is refused with "store_unavailable"

  Scenario: A delayed claim that takes effect after the holder gave up is fenced off
    Given a table service and two entry instances
    And the table service applies the next 3 writes late
    When instance 0 claims key "k1" for body "a"
    Then the last claim is refused with "store_unavailable"
    When the late writes take effect
    And instance 1 claims key "k1" for body "a"
    Then the last claim is held

  Scenario: A large answer during an outage of the object store is known to have run
    Given a table service and two entry instances
    And the object store is down
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with an answer of 50000 bytes
    And instance 1 claims key "k1" for body "a"
    Then the last claim fails with "result_unavailable" and run state "ran"

  Scenario: A call costs two transactions and one read
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with an answer of 20 bytes
    Then the table service did 2 transactions and 1 read

  Scenario: Records are swept after their lifetime and not before
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with an answer of 50000 bytes
    And 7 days pass
    And instance 1 sweeps the records
    Then the table service has 1 rows
    When 2 days pass
    And instance 1 sweeps the records
    Then the table service has 0 rows

  Scenario: A delayed second claim that takes effect after the holder gave up is fenced off
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as not run
    Given the table service applies the next 3 writes late
    When instance 0 claims key "k1" for body "a"
    Then the last claim is refused with "store_unavailable"
    When the late writes take effect
    And instance 1 claims key "k1" for body "a"
    Then the last claim is held
