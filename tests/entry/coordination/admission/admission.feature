Feature: Admission
  Guards against long prompts that block short ones, against capacity that is never released, and
  against prompts that hold only part of the memory they need.

  Scenario: A long prompt without capacity does not block a short one
    Given 2 engines of 400000 tokens, of which 300000 are used by others
    When a request of 200000 tokens is sent
    And a request of 1000 tokens is sent
    Then the request of 1000 tokens is placed
    And the request of 200000 tokens waits

  Scenario: Long prompts leave headroom for short ones
    Given 1 engines of 400000 tokens, of which 0 are used by others
    When a request of 200000 tokens is sent
    And a request of 150000 tokens is sent
    And a request of 4000 tokens is sent
    Then the request of 150000 tokens waits
    And the request of 4000 tokens is placed

  Scenario: A queued request is placed when capacity is released
    Given 1 engines of 400000 tokens, of which 0 are used by others
    When a request of 200000 tokens is sent
    And a request of 150000 tokens is sent
    And the request of 200000 tokens ends
    Then the request of 150000 tokens is placed

  Scenario: A prompt larger than one engine is split in ascending order
    Given 4 engines of 400000 tokens, of which 0 are used by others
    When a request of 900000 tokens is sent
    Then the request of 900000 tokens is placed
    And memory was reserved in ascending order of engines for all of it
    When the request of 900000 tokens ends
    Then all capacity is released

  Scenario: A refused reservation releases all parts
    Given 4 engines of 400000 tokens, of which 0 are used by others
    And engine 2 refuses reservations
    When a request of 900000 tokens is sent
    Then the request of 900000 tokens waits
    And all capacity is released

  Scenario: Cancelled requests release all capacity
    Given 4 engines of 400000 tokens, of which 0 are used by others
    When a request of 900000 tokens is sent
    And a request of 200000 tokens is sent
    And a request of 1000 tokens is sent
    And all requests are cancelled
    Then all capacity is released

  Scenario: A prompt that no set of engines can hold is refused
    Given 2 engines of 400000 tokens, of which 0 are used by others
    When a request of 900000 tokens is sent
    Then the request of 900000 tokens is refused with "prompt_too_long"

  Scenario: An aged long prompt does not block an aged medium one
    Given 1 engines of 400000 tokens, of which 250000 are used by others
    When a request of 200000 tokens is sent
    And 6 seconds pass while they wait
    And a request of 50000 tokens is sent
    Then the request of 50000 tokens waits
    When 3 seconds pass while they wait
    Then the request of 50000 tokens is placed

  Scenario: With busy engines each instance uses its equal share of the slots
    Given 1 engines of 400000 tokens, of which 0 are used by others
    And 3 entry instances share engines on which others run 8 requests
    When a request of 1001 tokens is sent
    And a request of 1002 tokens is sent
    And a request of 1003 tokens is sent
    And a request of 1004 tokens is sent
    Then the request of 1003 tokens is placed
    And the request of 1004 tokens waits
