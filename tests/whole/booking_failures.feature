Feature: Failures during bookings, with real processes
  Guards against running a booking twice and against reporting a wrong run state.

  Scenario: An entry instance is killed while it runs a booking and the caller retries elsewhere
    Given a deployment with 2 proxied engines
    And bookings take 2 seconds
    When a caller sends booking "b" through entry 0, which is killed while it runs
    And the caller sends booking "b" through entry 1
    Then the booking response has status 409 and run state "unknown"
    And booking "b" has run 1 time

  Scenario: A booking target loses the connection after it ran the booking
    Given a deployment with 2 proxied engines
    And the booking targets drop their next response
    When the caller sends booking "b" through entry 0
    Then the booking response has status 409 and run state "unknown"
    When the caller sends booking "b" through entry 1
    Then the booking response has status 409 and run state "unknown"
    And booking "b" has run 1 time

  Scenario: The table service's reply to the claim is lost
    Given a deployment with 2 proxied engines
    And the table service loses the next 1 replies
    When the caller sends booking "b" through entry 0
    Then the booking response has status 201 and run state "ran"
    When the caller sends booking "b" through entry 1
    Then the booking response has status 201 and run state "ran"
    And booking "b" has run 1 time

  Scenario: The table service loses a reply and the booking target loses the connection
    Given a deployment with 2 proxied engines
    And the table service loses the next 1 replies
    And the booking targets drop their next response
    When the caller sends booking "b" through entry 0
    Then the booking response has status 409 and run state "unknown"
    When the caller sends booking "b" through entry 1
    Then the booking response has status 409 and run state "unknown"
    And booking "b" has run 1 time

  Scenario: The table service is down
    Given a deployment with 2 proxied engines
    And the table service has an outage
    When the caller sends booking "b" through entry 0
    Then the booking response has status 503 and run state "not-run"
    And booking "b" has run 0 times
    When a caller streams a response of 50 tokens through entry 1
    Then the caller gets the complete response to its own prompt within 30 seconds
    When the table service's outage is over
    And the caller sends booking "b" through entry 1
    Then the booking response has status 201 and run state "ran"
    And booking "b" has run 1 time
