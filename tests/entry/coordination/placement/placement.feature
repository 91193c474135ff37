Feature: Request placement
  Guards against short requests that wait for long prefills, against pauses in streams, and against
  prompts that are placed where they do not fit into memory.

  Scenario: Short requests share engines, so that others stay free for long prompts
    Given 6 engines
    When 5 short requests are placed
    Then they are on 1 engine

  Scenario: A full engine is not used while another has a slot
    Given 2 engines
    When 10 short requests are placed
    Then no engine has more than 8 requests

  Scenario: A short request avoids an engine that processes a long prefill
    Given 2 engines
    And a prompt of 200000 tokens is in prefill on "e00"
    When 1 short request is placed
    Then the last request is on "e01"

  Scenario: The prefill of a long prompt is split, but not over engines that decode short requests
    Given 9 engines
    And 4 short requests are decoding on "e00"
    When a long prompt of 300000 tokens is placed
    Then it is split over at least 5 engines
    And "e00" is not used

  Scenario: A prompt of 45,000 tokens is split into segments that delay no stream
    Given 4 engines
    And 4 short requests are decoding on "e00"
    And 4 short requests are decoding on "e01"
    And 4 short requests are decoding on "e02"
    And 4 short requests are decoding on "e03"
    When a medium prompt of 45000 tokens is placed
    Then no prefill segment takes longer than 150 ms

  Scenario Outline: The split of a very long prompt leaves engines for expected short requests
    Given 8 engines
    When <rate> short requests a second have arrived for 2 seconds and have ended
    And a long prompt of 900000 tokens is placed
    Then it is split over <most> engines at most

    Examples:
      | rate | most |
      | 2    | 8    |
      | 30   | 5    |

  Scenario: A later long prompt avoids delaying one that is about to be late
    Given 4 engines
    And a prompt of 400000 tokens, due 0.6 s later, is in prefill on "e00" and "e01"
    When a long prompt of 100000 tokens is placed
    Then "e00" is not used
    And "e01" is not used

  Scenario: A prompt larger than one engine's memory is kept in the KV caches of several
    Given 6 engines
    When a long prompt of 700000 tokens is placed
    Then no engine keeps the KV cache of more than 441000 tokens
    And all 700000 tokens are kept in KV caches

  Scenario: The lead is not an engine whose memory is in use
    Given 3 engines
    And a prompt of 300000 tokens is decoding on "e00"
    And a prompt of 300000 tokens is decoding on "e01"
    When a long prompt of 200000 tokens is placed
    Then its lead is "e02"

  Scenario: Targets that are leaving, lost or excluded get no requests
    Given 4 engines
    And "e00" is leaving
    And "e01" was lost
    When a short request that failed on "e02" is placed
    Then the last request is on "e03"

  Scenario: Lost targets are used when no other is listed
    Given 1 engines
    And "e00" was lost
    When 1 short request is placed
    Then the last request is on "e00"

  Scenario: A target that failed requests is chosen after one that did not
    Given 2 engines
    And "e00" failed 5 requests
    When 1 short request is placed
    Then the last request is on "e01"

  Scenario: A request that was running when a target crashed runs alone
    Given 3 engines
    And 1 short requests are decoding on "e00"
    And 1 short requests are decoding on "e02"
    When a suspected short request is placed
    Then the last request is on "e01"

  Scenario: Suspected requests are placed apart from each other
    Given 16 engines
    And 1 short requests are decoding on "e03"
    When 6 different suspected short requests are placed at the same time
    Then they are on 4 engines at least, without "e03"

  Scenario: A suspected call goes to one of the plain targets with the fewest requests
    Given 3 plain targets
    And a call was placed on "e00"
    And a call was placed on "e02"
    When a suspected call is placed
    Then the last request is on "e01"

  Scenario: A suspected long prompt keeps its helpers
    Given 9 engines
    When a suspected long prompt of 700000 tokens is placed
    Then it is split over 9 engines at most

  Scenario: Calls go to the plain target with the fewest requests of all instances
    Given 3 plain targets
    And a call was placed on "e00"
    And a call was placed on "e01"
    When a call is placed
    Then the last request is on "e02"

  Scenario: An engine that helps as many prompts as it has slots gets no further segment
    Given 9 engines
    And 8 prompts of 20000 tokens are in prefill on "e00" with the helper "e04"
    When a long prompt of 400000 tokens is placed
    Then "e04" is not used

  Scenario: An engine that helps fewer prompts than it has slots may get a segment
    Given 9 engines
    And 7 prompts of 20000 tokens are in prefill on "e00" with the helper "e04"
    When a long prompt of 400000 tokens is placed
    Then "e04" is used

  Scenario: A prompt is split with the only engine that has memory for it as its lead
    Given 9 engines
    And 420000 tokens of other prompts are kept on all engines but "e05"
    And 6 short requests are decoding on "e05"
    When a long prompt of 400000 tokens is placed
    Then the last request is on "e05"
    And other engines help to prefill it
    And no helper keeps a part of it

  Scenario: Without a target placement fails
    Given 0 engines
    When 1 short request is placed
    Then no target was chosen

  Scenario: The placement time in a large fleet is bounded
    Given 500 engines
    When a long prompt of 300000 tokens is placed
    Then at most 64 engines were compared

  Scenario: In a large fleet a request stays in its zone while a slot is free there
    Given 3 engines
    And zones that serve their own requests, with "e00" and "e02" in the local zone
    And 4 short requests are decoding on "e01"
    When 1 short request is placed
    Then "e01" is not used

  Scenario: In a large fleet a request leaves its zone when no slot is free there
    Given 3 engines
    And zones that serve their own requests, with "e00" and "e02" in the local zone
    And 9 short requests are decoding on "e00"
    And 9 short requests are decoding on "e02"
    When 1 short request is placed
    Then the last request is on "e01"

  Scenario: A target that is leaving by its own word gets neither a prompt nor a segment of one
    Given 9 engines
    And "e03" has announced its departure
    When a long prompt of 400000 tokens is placed
    Then "e03" is not used
    When 40 short requests are placed
    Then "e03" is not used

  Scenario: A target that asked for a pause gets neither a prompt nor a segment of one
    Given 9 engines
    And "e03" has asked for a pause of 2 seconds
    When a long prompt of 400000 tokens is placed
    Then "e03" is not used
    When 40 short requests are placed
    Then "e03" is not used

  Scenario: When all targets pause, a request is refused at once until the first pause ends
    Given 2 plain targets
    And "e00" has asked for a pause of 4 seconds
    And "e01" has asked for a pause of 2 seconds
    When 20 calls are placed
    Then no target was chosen
    And the callers are asked to return after 2 to 2.5 seconds, not all at once

  Scenario: After a pause a target gets its share back gradually
    Given 5 plain targets
    And "e00" is leaving
    And "e01" has asked for a pause of 2 seconds
    When 400 calls are placed and answered in each half second for 5 seconds
    Then "e01" got 0 calls in the first 2 seconds, and then more in each half second
    And "e01" never got more than 130 of 400 calls
