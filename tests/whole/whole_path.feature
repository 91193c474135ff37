@fleet.eaveline
Feature: End-to-end requests with real processes
  Guards against wrong, mixed-up or missing responses between caller and target.

  Scenario Outline: A prompt of <tokens> tokens is answered completely
    When a caller sends a prompt of <tokens> tokens
    Then the caller gets the complete response to its own prompt

    Examples:
      | tokens |
      | 1000   |
      | 60000  |
      | 900000 |

  Scenario: A booking sent through every entry instance runs once
    When a caller sends booking "b-1" through every entry instance
    Then every response has status 201
    And booking "b-1" ran 1 time

  Scenario: Errors in a request are reported with their place
    When a caller sends the completion body '{"model": 5, "stream": "yes"}'
    Then the response has status 400 and run state "not-run"
    And the findings name the places "$.model, $.stream, $.messages"

  Scenario: A caller without a valid key is rejected
    When a caller sends a prompt with the key "wrong"
    Then the response has status 401 and run state "not-run"

  Scenario: A booking without an idempotency key is rejected
    When a caller sends a booking without Idempotency-Key
    Then the response has status 400 and run state "not-run"
