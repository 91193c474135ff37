Feature: Finding the cause of a failed request from logs and metrics alone
  Guards against failures that logs and metrics do not explain. The commands are those of
  docs/OPERATIONS.md.

  Scenario: A request that was refused as not run
    When a booking is refused as no target accepts new requests
    Then `wasabiwell trace` lists its events "not_placed request_not_served"
    And the trace contains "no target of service wuno96b takes new work"

  Scenario: A stream that was interrupted and not resumed
    When an engine crashes under a stream that may not be resumed
    Then `wasabiwell trace` lists its events "routed interruption_assessed send_failed request_not_served"
    And the trace contains "verdict=lost"
    And the trace contains "begun=True"

  Scenario: A booking with an unknown outcome
    When a target loses its response to a booking
    Then `wasabiwell trace` lists its events "routed interruption_assessed send_failed request_not_served"
    And the trace contains "broken: ReadError"
    And the trace contains "reason=target_failed"

  Scenario: Unreadable lines are counted and skipped
    Given a log file with 3 unreadable lines
    When a booking is refused as no target accepts new requests
    Then `wasabiwell trace` lists its events "not_placed request_not_served"
    And the trace reports 3 unreadable lines

  Scenario: A request without log lines
    When a booking is refused as no target accepts new requests
    Then `wasabiwell trace` of another request exits with code 7

  Scenario: Metrics cover requests, attempts, times and states
    When requests of all kinds are answered and the metrics are fetched
    Then the metrics count 6 requests with status 200
    And the metrics contain "wasabiwell_first_event_seconds_bucket wasabiwell_event_gap_seconds_count wasabiwell_store_calls_total wasabiwell_targets wasabiwell_versions wasabiwell_age_seconds wasabiwell_log_lines"
