Feature: Calls to plain services under failure
  Guards against false reports that a call did not run, against lost responses, and against calls that
  outlast their deadline.

  Scenario: An idempotent call that hangs until its deadline is not reported as "not run"
    Given plain targets that behave as "hang"
    When a caller sends an idempotent call
    Then the caller receives the error "target_failed" and run state "unknown"

  Scenario: An idempotent call is sent to another target after a response with 503
    Given plain targets that behave as "unavailable, answer"
    When a caller sends an idempotent call
    Then the caller receives the response with status 201

  Scenario: An idempotent call receives a response with 503 when every target sends one
    Given plain targets that behave as "unavailable, unavailable, unavailable"
    When a caller sends an idempotent call
    Then the caller receives the response with status 503

  Scenario: A non-idempotent call is never retried after 503
    Given plain targets that behave as "unavailable, answer"
    When a caller sends a booking
    Then the caller receives the response with status 503

  Scenario: A booking that hangs until its deadline has an unknown result
    Given plain targets that behave as "hang"
    When a caller sends a booking
    Then the caller receives the error "result_unknown" and run state "unknown"
    And the record has status "unknown"

  Scenario: A booking whose claim hangs until its deadline was not run
    Given plain targets that behave as "answer"
    And the table service hangs
    When a caller sends a booking
    Then the caller receives the error "deadline_exceeded" and run state "not-run"
    And the targets ran 0 bookings
    When the table service is available again
    Then the record has status "not_run"

  Scenario: The table service becomes unavailable while a booking runs
    Given plain targets that behave as "answer"
    And the table service becomes unavailable after the claim
    When a caller sends a booking
    Then the caller receives the response with status 201
    And the response arrived within 1 seconds
    When the table service is available again
    Then the record has status "done"
