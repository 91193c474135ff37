Feature: Engine failures during a stream, with real processes
  Guards against lost, mixed-up or duplicated tokens.

  Scenario Outline: A prompt whose engine <fails> is answered completely
    Given a deployment with 4 proxied engines
    When a caller streams a response of 200 tokens through entry 0
    And the engine that runs it <fails>
    Then the caller gets the complete response to its own prompt within 30 seconds

    Examples:
      | fails                                  |
      | is killed                              |
      | is frozen                              |
      | stops sending data                     |
      | stops receiving data                   |
      | stops sending data on open connections |

  Scenario: Two engines fail one after the other
    Given a deployment with 4 proxied engines
    When a caller streams a response of 300 tokens through entry 0
    And the engine that runs it stops sending data
    And the engine that runs it is killed
    Then the caller gets the complete response to its own prompt within 30 seconds
