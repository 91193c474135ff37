Feature: Run records
  Guards against a non-idempotent call that runs twice, and against reporting "not run" for a call
  that ran.

  Scenario: A retry gets the stored response
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with a response of 20 bytes
    And instance 1 claims key "k1" for body "a"
    Then the last claim returns the stored response of 20 bytes

  Scenario: A large response is stored in the object store
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with a response of 50000 bytes
    And instance 1 claims key "k1" for body "a"
    Then the last claim returns the stored response of 50000 bytes

  Scenario: A retry while the call runs fails as still running
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 1 claims key "k1" for body "a"
    Then the last claim fails with "still_running" and run state "unknown"

  Scenario: A retry after the holder crashed fails with an unknown result
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

  Scenario: A claim whose reply was lost is confirmed by a read
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

  Scenario: A call is refused while the table service is unavailable
    Given a table service and two entry instances
    And the table service is down
    When instance 0 claims key "k1" for body "a"
    Then the last claim is refused with "store_unavailable"

  Scenario: A delayed write of an abandoned claim does not block later claims
    Given a table service and two entry instances
    And the table service applies the next 3 writes late
    When instance 0 claims key "k1" for body "a"
    Then the last claim is refused with "store_unavailable"
    When the delayed writes take effect
    And instance 1 claims key "k1" for body "a"
    Then the last claim is held

  Scenario: A large response is lost in an outage of the object store, but the call is known to have run
    Given a table service and two entry instances
    And the object store is down
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with a response of 50000 bytes
    And instance 1 claims key "k1" for body "a"
    Then the last claim fails with "result_unavailable" and run state "ran"

  Scenario: A call costs two transactions and one read
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with a response of 20 bytes
    Then the table service did 2 transactions and 1 read

  Scenario: Records are deleted after their lifetime and not before
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as done with a response of 50000 bytes
    And 7 days pass
    And instance 1 sweeps the records
    Then the table service has 1 rows
    When 2 days pass
    And instance 1 sweeps the records
    Then the table service has 0 rows

  Scenario: A delayed write of an abandoned second claim does not block later claims
    Given a table service and two entry instances
    When instance 0 claims key "k1" for body "a"
    And instance 0 settles key "k1" as not run
    Given the table service applies the next 3 writes late
    When instance 0 claims key "k1" for body "a"
    Then the last claim is refused with "store_unavailable"
    When the delayed writes take effect
    And instance 1 claims key "k1" for body "a"
    Then the last claim is held
