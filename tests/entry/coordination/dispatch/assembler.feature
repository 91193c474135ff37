Feature: Assembling an answer from the frames of its attempts
  Guards against tokens that are doubled, missing or of another attempt.

  Scenario: No order of frames doubles or loses a token
    When the state machine of the answer assembler is run
