Feature: Limits of organisations
  Guards against an organisation that exceeds its limit by using many entry instances, and
  against a message to the owner for each request.

  Scenario: Shares over all instances never exceed the limit
    Then shares granted for random demands never exceed the limit in total

  Scenario: The limit holds over three instances
    Given 3 instances and an organisation with 30 requests per second
    When each instance receives 100 requests per second for 10 seconds
    Then between 250 and 330 requests were admitted
    And at most 40 messages were sent

  Scenario: Concurrent long requests are counted over all instances
    Given 3 instances and an organisation with 2 concurrent long requests
    When long requests arrive at the instances "0 1 2"
    Then the long requests were admitted as "1 1 0"
    When the long request at instance 0 ends and 20 seconds pass
    And long requests arrive at the instances "2"
    Then the long requests were admitted as "1"

  # The owner still grants itself up to the limit of 30/s, and the two holders that cannot reach it
  # admit 10/s each: 500 in 10 s plus the bursts. If they admitted nothing, the total would be 300.
  Scenario: Without the owner the share falls back to an equal part
    Given 3 instances and an organisation with 30 requests per second
    When each instance receives 100 requests per second for 3 seconds
    And the owner becomes unreachable
    And 20 seconds pass
    And each instance receives 100 requests per second for 10 seconds
    Then between 400 and 540 requests were admitted
