Feature: The cause of a failed request, from logs and metrics alone
  Guards against a failure that nobody can explain afterwards. The commands are those of
  docs/OPERATIONS.md.

  Scenario: A request that was refused as not run
    When a booking is refused as no target takes new work
    Then `wasabiwell trace` tells of it with "not_placed request_not_served"
    And its lines hold "no target of service wuno96b takes new work"

  Scenario: A stream that broke midway and was not resumed
    When an engine crashes under a stream that may not be resumed
    Then `wasabiwell trace` tells of it with "routed send_failed request_not_served"
    And its lines hold "verdict=lost"
    And its lines hold "begun=True"

  Scenario: A booking with an unknown outcome
    When a target loses its answer to a booking
    Then `wasabiwell trace` tells of it with "routed send_failed request_not_served"
    And its lines hold "broken: ReadError"
    And its lines hold "reason=target_failed"

  Scenario: Lines that cannot be read are counted and do no harm
    Given a log file with 3 lines that are no log lines
    When a booking is refused as no target takes new work
    Then `wasabiwell trace` tells of it with "not_placed request_not_served"
    And it tells of 3 unreadable lines

  Scenario: A request that no line tells of
    When a booking is refused as no target takes new work
    Then `wasabiwell trace` of another request ends with code 7

  Scenario: Metrics tell of requests, sends, times and states
    When requests of all kinds are answered and the metrics are asked for
    Then the metrics count 6 requests that were answered with 200
    And the metrics have "wasabiwell_first_event_seconds_bucket wasabiwell_event_gap_seconds_count wasabiwell_store_calls_total wasabiwell_targets wasabiwell_versions wasabiwell_age_seconds wasabiwell_log_lines"
