Feature: Records of requests
  Guards against a log that grows without bound, records that contain text from targets, and records
  that are never closed.

  Scenario: The log is bounded and keeps the newest requests
    Given a request log for 3 records
    When 5 instrumented requests finish
    Then the log holds the requests "r2, r3, r4"

  Scenario: Text from a target is not recorded
    Given a request log for 3 records
    When an instrumented attempt ends with "status 500: cannot read: SECRET PROMPT"
    Then the record has the reason "status 500" and nowhere "SECRET"

  Scenario: The record of a cancelled request is counted and closed
    Given a request log for 3 records
    When an instrumented request is cancelled
    Then its outcome is "cancelled", it is counted once and no stream is open
