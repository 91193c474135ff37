Feature: Table of the other entry instances
  Guards against an order that depends on when instances were added: instances choose by this order
  which of them read the lists and which register.

  Scenario: Instances are returned in the order of addresses, whatever their order of arrival
    Given a table with messages from "c a d b"
    Then it returns "a b c d"
    When "b" is removed and a message from "aa" arrives
    Then it returns "a aa c d"

  Scenario: Instances beyond their silence timeout and lost instances are left out
    Given a table with messages from "a b c"
    When "b" has a silence timeout of 3 seconds, the others of 1, and "c" is reported as lost
    Then 2 seconds later it returns "b"
