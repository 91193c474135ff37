Feature: Calls to plain services under failure
  Guards against a false "not run", a lost answer, and calls that outlast their deadline.

  Scenario: An idempotent call that hangs until its deadline is not told "not run"
    Given plain targets that behave as "hang"
    When a caller sends an idempotent call
    Then the caller is told "target_failed" and run state "unknown"

  Scenario: An idempotent call that a target answers with 503 is answered by another target
    Given plain targets that behave as "unavailable, answer"
    When a caller sends an idempotent call
    Then the caller gets the answer with status 201

  Scenario: An idempotent call that every target answers with 503 gets that answer
    Given plain targets that behave as "unavailable, unavailable, unavailable"
    When a caller sends an idempotent call
    Then the caller gets the answer with status 503

  Scenario: A non-idempotent call is never sent again after 503
    Given plain targets that behave as "unavailable, answer"
    When a caller sends a booking
    Then the caller gets the answer with status 503

  Scenario: A booking that hangs until its deadline has an unknown result
    Given plain targets that behave as "hang"
    When a caller sends a booking
    Then the caller is told "result_unknown" and run state "unknown"
    And the record has status "unknown"

  Scenario: A booking whose claim hangs until its deadline was not run
    Given plain targets that behave as "answer"
    And the table service hangs
    When a caller sends a booking
    Then the caller is told "deadline_exceeded" and run state "not-run"
    And the targets ran 0 bookings
    When the table service works again
    Then the record has status "not_run"

  Scenario: The table service goes down while a booking runs
    Given plain targets that behave as "answer"
    And the table service goes down after the claim
    When a caller sends a booking
    Then the caller gets the answer with status 201
    And the answer came within 1 seconds
    When the table service works again
    Then the record has status "done"
