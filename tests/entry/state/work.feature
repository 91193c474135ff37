Feature: Model of the work on engines
  Guards against predictions that drift away from what engines do.

  Scenario: A prompt has been read after its reading time
    Given an engine on which a prompt of 100000 tokens was placed
    When its reading time has passed
    Then no reading is left and the prompt is written

  Scenario: Parts of split prompts are read first, the newest of them before the others
    Given an engine on which a prompt of 100000 tokens was placed
    And a part of a prompt of 200000 tokens "old"
    And a part of a prompt of 200000 tokens "new"
    Then the reading order is "new, old, whole"

  Scenario: The first event ends the reading on all engines of a split prompt
    Given an engine on which a prompt of 100000 tokens was placed
    And a part of a prompt of 200000 tokens "old"
    When the first event of "old" arrives
    Then the reading order is "whole"

  Scenario: An engine that keeps a part of a prompt has its memory taken until the end
    Given a prompt of 600000 tokens of which a helper keeps 200000
    When its first event arrives
    Then the helper has 200000 tokens in use
    When it ends
    Then the helper has 0 tokens in use

  Scenario: An engine that writes slowly is known to, until it was left alone for a while
    Given an engine on which a prompt of 1000 tokens was placed
    When its reading time has passed
    And events come 4 times as slowly as usual, 12 of them
    Then its pace is over 3.5
    And its passes are predicted to be as slow as its events
    When it gets no requests for 16 seconds
    Then its pace is under 1.3

  Scenario: Pauses while an engine reads do not make it slow
    Given an engine on which a prompt of 1000 tokens was placed
    When its reading time has passed
    And events come 1 times as slowly as usual, 12 of them
    Then its pace is under 1.1

  Scenario: An engine that started anew has no work
    Given an engine on which a prompt of 100000 tokens was placed
    When the engine is listed with another incarnation
    Then it has no request

  Scenario: What an instance placed is dropped when its state no longer names it
    Given an engine on which a prompt of 100000 tokens was placed
    When the instance that placed it tells that nothing is placed
    Then it has no request

  Scenario: A placement whose end was never told is dropped
    Given an engine on which a prompt of 100000 tokens was placed
    When the model is 21 seconds later
    Then it has no request
