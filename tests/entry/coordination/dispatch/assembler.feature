Feature: Assembly of a response from the frames of its attempts
  Guards against tokens that are duplicated, missing or from another attempt.

  Scenario: No order of frames duplicates or loses a token
    When the state machine of the response assembler is run
