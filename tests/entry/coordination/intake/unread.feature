Feature: Responses that nobody reads while others need their target
  Guards against callers that occupy all targets of a service with large responses that they do not
  read, so that every other request is rejected until the time-out of the route.

  Scenario: The response that has been unread for the longest time makes place for others
    Given responses "a b c" of service "s" whose callers have to read first
    When a request of service "s" is rejected at 0 s
    And the caller of "a" reads 1 byte
    And a request of service "s" is rejected at 4 s
    And the caller of "b" reads 1 byte
    And a request of service "s" is rejected at 9 s
    Then no response is given up
    When a request of service "s" is rejected at 10 s
    Then the responses "c" are given up
    When a request of service "s" is rejected at 14 s
    Then the responses "a c" are given up

  Scenario: A caller that reads slowly keeps its response
    Guards against sound responses that are cut on a slow link, also if nobody asks for long.
    Given responses "a" of service "s" whose callers have to read first
    When a request of service "s" is rejected at 0 s
    And the caller of "a" reads 1 byte
    And a request of service "s" is rejected at 60 s
    And the caller of "a" reads 1 byte
    And a request of service "s" is rejected at 120 s
    Then no response is given up

  Scenario Outline: Only a response that keeps a target from others is given up
    Guards against a response that is cut although this gives nobody a place.
    Given responses "a" of service "s" whose callers have to read first
    And <case>
    When a request of service "<service>" is rejected at 0 s
    And a request of service "<service>" is rejected at 30 s
    Then no response is given up

    Examples:
      | case                                   | service |
      | nothing else                           | other   |
      | the target of "a" has ended its work   | s       |
      | "a" waits for its target               | s       |

  Scenario: A response that has ended is not followed any more
    Guards against memory that grows with each response.
    Given responses "a b" of service "s" whose callers have to read first
    When the response "a" ends
    Then 1 response is followed

  Scenario: Each rejected request frees one target at most
    Guards against all unread responses that are cut for one request.
    Given responses "a b c" of service "s" whose callers have to read first
    When a request of service "s" is rejected at 0 s
    And a request of service "s" is rejected at 11 s
    Then 1 response is given up
    And each of them is logged with its caller and its time
