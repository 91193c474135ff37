Feature: The whole path on the users' platform, with real processes
  Guards against broken promises to callers when targets, entry processes, the store or operators
  act up. All targets and callers are stand-ins that keep what they saw.

  Scenario: Requests of all kinds are answered
    When callers send requests of all kinds for 2 seconds
    Then all of them were answered
    And no promise was broken
    And each target saw the callers' organisation

  Scenario: Streams are resumed when their engine crashes
    When an engine crashes while callers stream
    Then all of them were answered
    And no promise was broken
    And at least 1 stream was resumed at another engine

  Scenario: A booking whose answer is lost is neither run again nor refused as not run
    When callers book while a target loses all of its answers
    Then no promise was broken
    And some bookings have no answer

  Scenario: Answers that are cut, foreign or followed by others never look like whole ones
    When callers send requests while targets garble half of their answers
    Then no promise was broken

  Scenario: Idempotent requests are repeated when a target fails
    When callers look up while a target answers with 500
    Then all of them were answered

  Scenario: A planned stop of each entry process cuts no request off
    When each entry process is stopped in turn while callers send requests
    Then all of them were answered
    And no promise was broken
    And each process ended by itself

  Scenario: An answer that takes most of the grace period is finished
    When an entry process is stopped while an answer of 7 seconds begins
    Then all of them were answered

  Scenario: A killed entry process breaks no promise and the others go on
    When an entry process is killed while callers send requests
    Then no promise was broken
    And the requests that were sent a second later were answered

  Scenario: A leaving target gets no new work
    When a target drains while callers send requests
    Then no request began there 2 seconds later
    And all of them were answered

  Scenario: A key that was taken away is refused everywhere
    When a key is taken away while its callers are connected
    Then every entry process refuses it 2 seconds later with status 401

  Scenario: Requests are answered while the store is away, and after a restart then
    When the store goes away, an entry process restarts, and callers send requests
    Then all of them were answered

  Scenario: A caller who leaves frees its engine
    When callers leave before their streams end
    Then no run lasts longer than 0.5 seconds after that

  Scenario: Memory for a giant prompt is returned
    When engines answer a prompt of 600000 tokens
    Then no engine holds memory 1 second later
    And all of them were answered

  Scenario: A request that crashes engines is stopped
    When a request that crashes engines is sent 6 times
    Then it crashed at most 3 engines

  Scenario: A target that took over an address does not run requests for the one before
    When another target takes over the address of one that ended
    Then all of them were answered
    And no promise was broken

  Scenario Outline: Requests that cannot be served get a clear answer
    When an entry process gets <request>
    Then the status is <status>

    Examples:
      | request                              | status |
      | a request with an unknown key        | 401    |
      | a request without a key              | 401    |
      | a request for an unknown path        | 404    |
      | a request for an unknown host        | 404    |
      | a request without an id              | 400    |
      | a request with a body that is too large | 413 |
      | a request with headers that are too large | 431 |
      | a request that is no HTTP            | 400    |
