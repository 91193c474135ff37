Feature: Placement of requests
  Guards against short requests that wait behind long prompts, against pauses in streams, and against
  prompts that no engine's memory can take.

  Scenario: Short requests share engines, so that others stay free for long prompts
    Given 6 engines
    When 5 short requests are placed
    Then they are on 1 engine

  Scenario: A full engine is not used while another has a slot
    Given 2 engines
    When 10 short requests are placed
    Then no engine has more than 8 requests

  Scenario: A short request avoids an engine that reads a long prompt
    Given 2 engines
    And a prompt of 200000 tokens is read on "e00"
    When 1 short request is placed
    Then the last one is on "e01"

  Scenario: A long prompt is read on several engines, but not where short ones are written
    Given 9 engines
    And 4 short requests are written on "e00"
    When a long prompt of 300000 tokens is placed
    Then it is split over at least 5 engines
    And "e00" is not one of them

  Scenario: A prompt of 45,000 tokens is split into parts that disturb nobody
    Given 4 engines
    And 4 short requests are written on "e00"
    And 4 short requests are written on "e01"
    And 4 short requests are written on "e02"
    And 4 short requests are written on "e03"
    When a medium prompt of 45000 tokens is placed
    Then no part takes longer than 150 ms

  Scenario Outline: A giant prompt leaves engines to the short requests that will come
    Given 8 engines
    When <rate> short requests a second have come for 2 seconds and have ended
    And a long prompt of 900000 tokens is placed
    Then it is split over <most> engines at most

    Examples:
      | rate | most |
      | 2    | 8    |
      | 30   | 5    |

  Scenario: A later long prompt avoids delaying one that is about to be late
    Given 4 engines
    And a prompt of 400000 tokens, due 0.6 s later, is read on "e00" and "e01"
    When a long prompt of 100000 tokens is placed
    Then "e00" is not one of them
    And "e01" is not one of them

  Scenario: A prompt larger than one engine's memory is kept on several
    Given 6 engines
    When a long prompt of 700000 tokens is placed
    Then no engine keeps more than 441000 tokens of it
    And all 700000 tokens are kept

  Scenario: A prompt does not lead on an engine whose memory is taken
    Given 3 engines
    And a prompt of 300000 tokens is written on "e00"
    And a prompt of 300000 tokens is written on "e01"
    When a long prompt of 200000 tokens is placed
    Then its lead is "e02"

  Scenario: Targets that are leaving, lost or excluded get nothing
    Given 4 engines
    And "e00" is leaving
    And "e01" was lost
    When a short request is placed that "e02" failed
    Then the last one is on "e03"

  Scenario: Lost targets are used when no other is listed
    Given 1 engines
    And "e00" was lost
    When 1 short request is placed
    Then the last one is on "e00"

  Scenario: A target that failed requests is chosen after one that did not
    Given 2 engines
    And "e00" failed 5 requests
    When 1 short request is placed
    Then the last one is on "e01"

  Scenario: A request under which a target died runs alone
    Given 3 engines
    And 1 short requests are written on "e00"
    And 1 short requests are written on "e02"
    When a suspected short request is placed
    Then the last one is on "e01"

  Scenario: Calls go to the plain target with the fewest requests of all instances
    Given 3 plain targets
    And a call was placed on "e00"
    And a call was placed on "e01"
    When a call is placed
    Then the last one is on "e02"

  Scenario: Without a target nothing is placed
    Given 0 engines
    When 1 short request is placed
    Then nothing was placed

  Scenario: The time of a large fleet's placement is bounded
    Given 500 engines
    When a long prompt of 300000 tokens is placed
    Then at most 64 engines were compared

  Scenario: In a large fleet a request stays in its zone while that has room
    Given 3 engines
    And zones that place requests among themselves, with "e00" and "e02" in the own zone
    And 4 short requests are written on "e01"
    When 1 short request is placed
    Then "e01" is not one of them

  Scenario: In a large fleet a request leaves its zone when that has no room
    Given 3 engines
    And zones that place requests among themselves, with "e00" and "e02" in the own zone
    And 9 short requests are written on "e00"
    And 9 short requests are written on "e02"
    When 1 short request is placed
    Then the last one is on "e01"
