Feature: Fair queue
  Guards against an organisation that starves others, against an
  unbounded queue, and against late refusals.

  Scenario: The queue matches a reference model
    Then random arrivals and grants match the reference model and the queue limit

  Scenario: Backlogged organisations share by weight
    Then random backlogs are served within the bound of start-time fair queueing

  Scenario: An organisation with too many waiting requests is refused, another is not
    Given a fair queue that holds 2 requests of an organisation
    When organisation "a" queues 2 requests of 1000 tokens
    Then a request of organisation "a" with 1000 tokens is refused as "QueueFull"
    And a request of organisation "b" with 1000 tokens is queued

  Scenario: A request that cannot finish in time is refused early
    Given a fair queue that holds 100 requests of an organisation
    When organisation "a" queues 30 requests of 1000 tokens
    And 1 request is granted in each of 5 seconds
    Then a request of organisation "a" with 1000 tokens is refused as "DeadlineUnreachable"
    And a request of organisation "b" with 1000 tokens is queued

  Scenario: Aged long requests take precedence over short ones
    Given a fair queue that holds 100 requests of an organisation
    When organisation "a" queues 1 requests of 200000 tokens
    And organisation "b" queues 1 requests of 1000 tokens
    Then the size classes are scheduled in the order "short medium long"
    When 6 seconds pass
    Then the size classes are scheduled in the order "long short medium"
