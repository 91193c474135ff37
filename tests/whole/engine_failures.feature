Feature: Engines that fail mid-stream, with real processes
  Guards against lost, mixed or doubled tokens.

  Scenario Outline: A prompt whose engine <fails> gets its whole answer
    Given a deployment with 4 proxied engines
    When a caller streams an answer of 200 tokens through entry 0
    And the engine that runs it <fails>
    Then the caller gets its own whole answer within 30 seconds

    Examples:
      | fails                  |
      | is killed              |
      | is frozen              |
      | goes silent to callers |
      | goes silent to itself  |
      | has its open connections silenced |

  Scenario: Two engines fail one after the other
    Given a deployment with 4 proxied engines
    When a caller streams an answer of 300 tokens through entry 0
    And the engine that runs it goes silent to callers
    And the engine that runs it is killed
    Then the caller gets its own whole answer within 30 seconds
