Feature: Load model of the engines
  Guards against predictions that differ more and more from what the engines do.

  Scenario: The prefill of a prompt is done after its predicted time
    Given an engine on which a prompt of 100000 tokens was placed
    When its prefill time has passed
    Then no prefill is left and the request is decoding

  Scenario: Segments of split prompts are prefilled first, the newest segment before older ones
    Given an engine on which a prompt of 100000 tokens was placed
    And a segment of a prompt of 200000 tokens "old"
    And a segment of a prompt of 200000 tokens "new"
    Then the prefill order is "new, old, whole"

  Scenario: The first event ends the prefill on all engines of a split prompt
    Given an engine on which a prompt of 100000 tokens was placed
    And a segment of a prompt of 200000 tokens "old"
    When the first event of "old" arrives
    Then the prefill order is "whole"

  Scenario: KV cache kept on a helper stays in use until the request ends
    Given a prompt of 600000 tokens of which a helper keeps the KV cache of 200000
    When its first event arrives
    Then the helper has 200000 tokens in use
    When it ends
    Then the helper has 0 tokens in use

  Scenario: A slow engine has a slowdown, which decays while it gets no requests
    Given an engine on which a prompt of 1000 tokens was placed
    When its prefill time has passed
    And events arrive 4 times as slowly as usual, 12 of them
    Then its slowdown is over 3.5
    And its iterations are predicted to be as slow as its events
    When it gets no requests for 16 seconds
    Then its slowdown is under 1.3

  Scenario: Events at the usual rate cause no slowdown
    Given an engine on which a prompt of 1000 tokens was placed
    When its prefill time has passed
    And events arrive 1 times as slowly as usual, 12 of them
    Then its slowdown is under 1.1

  Scenario: An engine that has restarted has no requests
    Given an engine on which a prompt of 100000 tokens was placed
    When the engine is listed with another incarnation
    Then it has no request

  Scenario: Requests are removed when the state of the instance that placed them lacks them
    Given an engine on which a prompt of 100000 tokens was placed
    When the instance that placed it reports no placed requests
    Then it has no request

  Scenario: A request expires when its end notice never arrives
    Given an engine on which a prompt of 100000 tokens was placed
    When the model advances by 21 seconds
    Then it has no request
