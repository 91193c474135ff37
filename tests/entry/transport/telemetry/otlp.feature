Feature: Traces and metrics by OTLP
  Guards against calls without a span, metrics that differ from the status, secrets in telemetry,
  and requests that fail because the receiver fails.

  Scenario: Spans of all calls belong to the caller's trace, and metrics equal the status
    Given an entry instance that exports to a receiver
    When a caller sends 3 prompts and 2 bookings with a trace context
    Then the receiver gets the spans "POST request, admission wait, engine attempt, plain call, table transact, table read" in the caller's trace
    And the plain target received the caller's trace with the span of its call
    And requests, tokens, retries and the configuration version are the same in metrics and status
    And the histograms "wasabiwell.first_token, wasabiwell.slowdown" count 3 prompts
    And neither exported data nor logs contain the prompt or a key

  Scenario: A receiver that is down fails no request
    Given an entry instance that exports to an address without a listener
    When a caller sends 3 prompts and 2 bookings with a trace context
    Then the log has event 107
