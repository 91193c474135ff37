Feature: Connections to the product's own engines
  Guards against an answer that an engine writes late or twice, which would be taken for the answer to
  the next call on the same connection.

  Scenario: A refusal that an engine writes twice does not refuse the next request
    Given an engine that writes its first refusal twice and runs all later requests
    When two requests are sent to it one after the other
    Then the first request was refused
    And the second request was not refused
    And the engine has run 1 request

  Scenario: A refusal that an engine writes twice does not refuse the next reservation
    Given an engine that writes its first refusal twice and runs all later requests
    When two reservations are sent to it one after the other
    Then the first one was refused, and the second one holds memory

  Scenario: A refusal that an engine writes twice does not answer the next order
    Given an engine that writes its first refusal twice and runs all later requests
    When two orders are sent to it one after the other
    Then the first one was refused, and the second one was acknowledged
