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
