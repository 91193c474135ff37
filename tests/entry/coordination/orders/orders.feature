Feature: Orders to engines
  Guards against an order of an old lease that takes effect after one of a newer lease, and against
  more loads than the weight store allows.

  Scenario: Random faults never let an old order follow a new one
    Then 200 random histories of orders with lost replies, pauses and late orders keep the rules

  Scenario: Regions together stay within the rate of the weight store
    Given 2 regions of 2 entry instances and a weight store that allows 10 loads in an interval
    When every entry instance takes loads for 3 intervals
    Then at most 10 loads start in each interval and the first interval has none
    And at least 8 loads start in the last interval

  Scenario: A new owner of the rate withholds one interval
    Given 1 regions of 2 entry instances and a weight store that allows 10 loads in an interval
    When every entry instance takes loads for 3 intervals
    And the owner of the rate leaves
    And every entry instance takes loads for 1 intervals
    Then no load starts in the last interval

  Scenario: Two instances that take a lease at once get one lease
    Given 2 entry instances and an engine
    When all entry instances take the lease at once
    Then exactly 1 of them holds it

  Scenario Outline: The holder of a lease on an engine with <fencing> numbers stops in time
    Given 2 entry instances and an engine
    When the first takes the lease and <age> seconds pass
    Then an order under it to an engine with <fencing> numbers is <result>

    Examples:
      | fencing | age | result   |
      | ignored | 9   | sent     |
      | ignored | 11  | not sent |
      | refused | 11  | sent     |
      | refused | 16  | not sent |

  Scenario Outline: The next holder waits for the lease of an engine with <fencing> numbers
    Given 2 entry instances and an engine
    When the first takes the lease and the second sees it for <age> seconds
    Then the second <result> the lease of an engine with <fencing> numbers

    Examples:
      | fencing | age | result        |
      | ignored | 19  | does not take |
      | ignored | 21  | takes         |
      | refused | 14  | does not take |
      | refused | 16  | takes         |
