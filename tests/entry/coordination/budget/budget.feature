Feature: Budget of repeated sends
  Guards against repeats that overload a failing service, counted over all instances.

  Scenario: Repeats are allowed up to the share and the slack
    Given a budget of 0.2 and a slack of 10 in 10 seconds
    When 100 requests are counted
    Then 24 repeats are allowed

  Scenario: What other instances repeat is not allowed a second time
    Given a budget of 0.2 and a slack of 10 in 10 seconds
    And peers that counted 100 requests and 20 repeats
    When 100 requests are counted
    Then 20 repeats are allowed

  Scenario: Old counts leave the window
    Given a budget of 0.2 and a slack of 10 in 10 seconds
    When 100 requests are counted
    Then 24 repeats are allowed
    When the budget is 12 seconds older
    Then 8 repeats are allowed

  Scenario: Services have budgets of their own
    Given a budget of 0.0 and a slack of 10 in 10 seconds
    Then 8 repeats are allowed
    And 8 repeats of another service are allowed

  Scenario: The other instances are told of each repeat, as states may be seldom
    Given a budget of 0.0 and a slack of 10 in 10 seconds
    Then 8 repeats are allowed
    And 8 repeats were told
