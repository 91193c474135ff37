Feature: Limits of organisations
  Guards against an organisation that gets more than its limit through many entry instances, and
  against a call to the owner for each request.

  Scenario: Shares over all instances never exceed the limit
    Then random demands of holders never get more than the limit together

  Scenario: The limit holds over three instances
    Given 3 instances and an organisation with 30 requests per second
    When each instance is asked for 100 requests per second for 10 seconds
    Then between 250 and 330 requests passed
    And at most 40 messages were sent

  Scenario: Concurrent long requests are counted over all instances
    Given 3 instances and an organisation with 2 concurrent long requests
    When long requests arrive at the instances "0 1 2"
    Then the long requests "1 1 0" passed
    When the long request at instance 0 ends and 20 seconds pass
    And long requests arrive at the instances "2"
    Then the long requests "1" passed

  # The owner still serves itself, up to the limit of 30/s, and the two holders that it does not
  # hear pass 10/s each: 500 in 10 s and the bursts. A holder that passed nothing would make 300.
  Scenario: Without the owner the share expires into an even part
    Given 3 instances and an organisation with 30 requests per second
    When each instance is asked for 100 requests per second for 3 seconds
    And the owner becomes unreachable
    And 20 seconds pass
    And each instance is asked for 100 requests per second for 10 seconds
    Then between 400 and 540 requests passed
