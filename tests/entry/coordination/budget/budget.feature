Feature: Retry budget
  Guards against retries of all instances that together overload a failing service.

  Scenario: Retries are allowed up to the ratio and the slack
    Given a retry budget of 0.2 and a slack of 10 in 10 seconds
    When 100 requests are counted
    Then 24 retries are allowed

  Scenario: Retries of other instances count against the budget
    Given a retry budget of 0.2 and a slack of 10 in 10 seconds
    And peers that counted 100 requests and 20 retries
    When 100 requests are counted
    Then 20 retries are allowed

  Scenario: Old counts leave the window
    Given a retry budget of 0.2 and a slack of 10 in 10 seconds
    When 100 requests are counted
    Then 24 retries are allowed
    When the retry budget is 12 seconds older
    Then 8 retries are allowed

  Scenario: Each service has a separate budget
    Given a retry budget of 0.0 and a slack of 10 in 10 seconds
    Then 8 retries are allowed
    And 8 retries of another service are allowed

  Scenario: Each retry is published to other instances, as states may be infrequent
    Given a retry budget of 0.0 and a slack of 10 in 10 seconds
    Then 8 retries are allowed
    And 8 retries were published
