@fleet.eaveline
Feature: The whole path with real processes
  Guards against wrong, mixed or missing answers on the path from caller to target.

  Scenario Outline: A prompt of <tokens> tokens gets its own whole answer
    When a caller sends a prompt of <tokens> tokens
    Then the caller gets its own whole answer

    Examples:
      | tokens |
      | 1000   |
      | 60000  |
      | 900000 |

  Scenario: A booking sent through every entry instance runs once
    When a caller sends booking "b-1" through every entry instance
    Then every answer has status 201
    And booking "b-1" ran 1 time

  Scenario: Mistakes of a caller are named with their place
    When a caller sends the completion body '{"model": 5, "stream": "yes"}'
    Then the answer has status 400 and run state "not-run"
    And the findings name the places "$.model, $.stream, $.messages"

  Scenario: A caller without a valid key is refused
    When a caller sends a prompt with the key "wrong"
    Then the answer has status 401 and run state "not-run"

  Scenario: A booking without a key for repeats is refused
    When a caller sends a booking without Idempotency-Key
    Then the answer has status 400 and run state "not-run"
