Feature: Records of requests
  Guards against records that grow without bound, hold what a target wrote, or stay open for ever.

  Scenario: The log is bounded and keeps the newest requests
    Given a request log for 3 records
    When 5 observed requests finish
    Then the log holds the requests "r2, r3, r4"

  Scenario: A text that a target sent is not recorded
    Given a request log for 3 records
    When an observed attempt ends with "status 500: cannot read: SECRET PROMPT"
    Then the record has the reason "status 500" and nowhere "SECRET"

  Scenario: A cancelled request is counted and closed
    Given a request log for 3 records
    When an observed request is cancelled
    Then its outcome is "cancelled", it is counted once and no stream is open
