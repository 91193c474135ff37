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
