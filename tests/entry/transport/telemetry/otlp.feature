Feature: Traces and metrics by OTLP
  Guards against hops without a span, metrics that differ from the status, secrets in telemetry, and
  requests that fail because the receiver does.

  Scenario: Spans of all hops belong to the caller's trace, and metrics agree with the status
    Given an entry instance that exports to a receiver
    When a caller sends 3 prompts and 2 bookings with a trace context
    Then the receiver gets the spans "POST request, admission wait, engine attempt, plain call, table transact, table read" in the caller's trace
    And the plain target got the caller's trace with the span of its call
    And requests, tokens, retries and the configuration version are the same in metrics and status
    And the histograms "wasabiwell.first_token, wasabiwell.slowdown" count 3 prompts
    And neither prompt nor key is in what the receiver got or in the logs

  Scenario: A receiver that is down fails no request
    Given an entry instance that exports to an address where nobody listens
    When a caller sends 3 prompts and 2 bookings with a trace context
    Then the log has event 107
