Feature: Table of the other entry instances
  Guards against an order that differs between what was added first and what came later, by which
  instances choose who reads lists and who registers.

  Scenario: Instances are returned in the order of addresses, whatever their order of arrival
    Given a table that has heard "c a d b"
    Then it returns "a b c d"
    When "b" is removed and "aa" is heard
    Then it returns "a aa c d"

  Scenario: An instance that is silent for longer than it may be, or lost, is left out
    Given a table that has heard "a b c"
    When "b" may be silent for 3 seconds, the others for 1, and "c" is reported as lost
    Then 2 seconds later it returns "b"
