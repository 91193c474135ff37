Feature: Orders to engines
  Guards against an order of an old lease that takes effect after an order of a newer lease, and
  against exceeding the weight store's rate limit.

  Scenario: An order of an old lease never takes effect after one of a newer lease
    Then 200 random histories of orders with lost replies, pauses and delayed orders keep the invariants

  Scenario: All regions together stay within the rate limit of the weight store
    Given 2 regions of 2 entry instances and a weight store that allows 10 loads in an interval
    When every entry instance requests loads for 3 intervals
    Then at most 10 loads start in each interval and the first interval has none
    And at least 8 loads start in the last interval

  Scenario: A new owner of the rate limit grants nothing in its first interval
    Given 1 regions of 2 entry instances and a weight store that allows 10 loads in an interval
    When every entry instance requests loads for 3 intervals
    And the owner of the rate limit leaves
    And every entry instance requests loads for 1 intervals
    Then no load starts in the last interval

  Scenario: Only one of two instances that acquire a lease concurrently gets it
    Given 2 entry instances and an engine
    When all entry instances acquire the lease concurrently
    Then exactly 1 of them holds it

  Scenario Outline: A holder sends no order under an expiring lease to an engine with <fencing> numbers
    Given 2 entry instances and an engine
    When the first acquires the lease and <age> seconds pass
    Then an order under it to an engine with <fencing> numbers is <result>

    Examples:
      | fencing | age | result   |
      | ignored | 9   | sent     |
      | ignored | 11  | not sent |
      | refused | 11  | sent     |
      | refused | 16  | not sent |

  Scenario Outline: The next holder waits for the lease of an engine with <fencing> numbers
    Given 2 entry instances and an engine
    When the first acquires the lease and the second observes it for <age> seconds
    Then the second <result> the lease of an engine with <fencing> numbers

    Examples:
      | fencing | age | result        |
      | ignored | 19  | does not take |
      | ignored | 21  | takes         |
      | refused | 14  | does not take |
      | refused | 16  | takes         |
