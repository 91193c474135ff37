Feature: Account of buffered bytes
  Guards against a process that runs out of memory as it buffers what callers send, and against a
  bound that hits callers who keep to the limits. The account of the tests has 1000 kB, of which
  250 kB are reserved.

  Scenario: Bytes are granted up to the bound and again after their release
    Guards against memory that is not released on one of the ways out.
    Given an account of 1000 kB
    When "a" at "10.0.0.1" has sent 600 kB of 700 kB
    Then "a" may not buffer 500 kB more
    When "a" ends
    Then nothing is buffered
    When "b" at "10.0.0.1" has sent 700 kB of 700 kB
    Then 700 kB are buffered

  Scenario: Memory is released when the handling of a request fails
    Guards against an account that fills up with each error until it grants nothing.
    Given an account of 1000 kB
    When the handling of a request with 600 kB raises an error
    Then nothing is buffered

  Scenario: Without a capacity everything is granted and nothing is given up
    Guards against a new bound on deployments that set none.
    Given an account without a capacity
    When "a" at "10.0.0.1" has sent 900000 kB of 900000 kB
    And 30 s pass
    Then "a" may buffer 900000 kB more

  Scenario: A single request is served although others fill the rest of the account
    Guards against a caller with one request who is rejected as others fill the memory.
    Given an account of 1000 kB
    When "a" at "10.0.0.1" has sent 740 kB of 750 kB
    Then "b" at "10.0.0.2" may buffer 200 kB
    And "c" at "10.0.0.1" may not buffer 200 kB

  Scenario: The control address has its part, and no more of it
    Guards against peers and operators who are rejected with the callers, and against callers who
    take everything through the control address.
    Given an account of 1000 kB
    When "a" at "10.0.0.1" has sent 740 kB of 750 kB
    And "p" at the control address has sent 200 kB of 250 kB
    Then "p" may not buffer 100 kB more
    And "p" may buffer 40 kB more

  Scenario: The body that stopped is given up before those that go on
    Guards against slow links that lose their request to callers who stop before the end.
    Given an account of 1000 kB
    When "stopped" at "10.0.0.1" has sent 480 kB of 490 kB
    And "slow" at "10.0.0.2" has sent 20 kB of 200 kB
    And 20 s pass
    And "slow" sends 150 kB
    And "new" at "10.0.0.3" has sent 270 kB of 300 kB
    And "new" needs 100 kB more
    Then "stopped" is given up, and nothing else
    And the reason for "stopped" has status 503 and a time to retry

  Scenario: The time in which the instance did not read is no slowness of the caller
    Guards against a caller who is rejected as slow since the instance made it wait.
    Given an account of 1000 kB
    When "waiting" at "10.0.0.1" has sent 300 kB of 400 kB
    And 4 s pass
    And "waiting" was not read for 3500 ms until now
    And "reading" at "10.0.0.2" has sent 300 kB of 400 kB
    And 2 s pass
    And "reading" sends 30 kB
    And "waiting" was not read for 2000 ms until now
    And "waiting" needs 400 kB more
    Then "reading" is given up, and nothing else

  Scenario: A complete request is never given up for an incomplete one
    Guards against work that is lost although it only waits for its target.
    Given an account of 1000 kB
    When "complete" at "10.0.0.1" has sent 700 kB of 700 kB
    And "complete" is complete
    And 60 s pass
    And "new" at "10.0.0.1" has sent 40 kB of 300 kB
    And 2 s pass
    And "new" needs 100 kB more
    Then "new" is given up, and nothing else

  Scenario: A body that has just begun is not given up
    Guards against a new request that is rejected as its speed is not known yet.
    Given an account of 1000 kB
    When "a" at "10.0.0.1" has sent 700 kB of 750 kB
    And "a" needs 400 kB more
    Then nothing is given up

  Scenario Outline: <owner> with more than half of the account loses its bodies first
    Guards against one organisation, or one address, that takes the memory of all others.
    Given an account of 1000 kB
    When "large1" of "greedy" at "<first address>" has sent 280 kB of 300 kB
    And "large2" of "<other organisation>" at "<second address>" has sent 280 kB of 300 kB
    And 1 s pass
    And "small" of "modest" at "10.0.0.9" has sent 10 kB of 500 kB
    And 30 s pass
    And "small" needs 450 kB more
    Then "small" is not given up
    And one of "large1" and "large2" is given up

    Examples:
      | owner           | first address | second address | other organisation |
      | An organisation | 10.0.0.1      | 10.0.0.2       | greedy             |
      | An address      | 10.0.0.1      | 10.0.0.1       | other              |

  Scenario: One body is given up at a time
    Guards against all bodies that are given up at once, as each waiting connection asks for memory
    before that of the first one is released.
    Given an account of 1000 kB
    When "a" at "10.0.0.1" has sent 350 kB of 400 kB
    And "b" at "10.0.0.1" has sent 350 kB of 400 kB
    And 2 s pass
    And "a" needs 100 kB more
    And "b" needs 100 kB more
    Then 1 of them is given up

  Scenario: The limits of a machine follow its memory and its descriptors
    Guards against a bound that callers inside the limits meet on the smallest machines, and against
    callers that take the descriptors of the store, peers and targets.
    Then a machine of 152 MB buffers 38000000 bytes
    And a machine without a known memory buffers without a bound
    And a machine of 1535 descriptors accepts 890 connections and 222 control connections

  Scenario: A waiting connection goes on once memory is released, and is given up after its time
    Guards against connections that wait for memory for ever.
    Given an account of 1000 kB
    When two connections need 600 kB each, of which the first one ends after 2 s
    Then the second one was granted its bytes after 2 s
    When two connections need 600 kB each, of which the first one is complete and never ends
    Then the second one was given up after 4 s

  Scenario: What follows a request in service waits as long as that is in service
    Guards against a request that loses its response, as the connection ends for want of memory for the
    next request that its caller has already sent.
    Given an account of 1000 kB
    When two connections with a request in service need 600 kB each, of which the first one ends after 30 s
    Then the second one was granted its bytes after 30 s

  Scenario: A response that its caller does not read is given up for another one only
    Guards against callers who take the memory, or the targets, of others with responses that they
    do not read, and against a complete request that is dropped for an incomplete one.
    Given an account of 1000 kB
    When a response to "unread" at "10.0.0.1" of 400 kB waits for its caller
    And a response to "read" at "10.0.0.1" of 100 kB waits for its caller
    And 5 s pass
    And the caller of "read" reads a part
    And "body" at "10.0.0.1" has sent 240 kB of 300 kB
    And "body" needs 60 kB more
    Then nothing is given up
    When "body" is complete
    And "next" at "10.0.0.1" has sent 5 kB of 300 kB
    And "next" is complete
    And "next" needs 300 kB more
    Then "unread" is given up, and nothing else

  Scenario: Many short requests at once cost nobody a request
    Guards against a body that is given up as many connections reserve memory for a read at the same
    moment, of which most is given back at once.
    Given an account of 1000 kB
    When 400 connections reserve 64 kB each for a read of 1 kB, beside a slow body of 100 kB
    Then all reads were granted, and nothing was given up

  Scenario: Responses that nobody reads leave room for requests
    Guards against requests that get no memory as long as callers do not read their responses, which
    are not given up for incomplete requests.
    Given an account of 1000 kB
    When a response to "unread" at "10.0.0.1" of 450 kB waits for its caller
    Then "unread" may not buffer 100 kB more
    And "body" at "10.0.0.1" may buffer 250 kB

  Scenario: A response above the part of responses takes no body from its caller
    Guards against incomplete bodies that are given up although this frees nothing for responses.
    Given an account of 1000 kB
    When a response to "unread" at "10.0.0.1" of 400 kB waits for its caller
    And "body" at "10.0.0.2" has sent 100 kB of 900 kB
    And 5 s pass
    And a response to "next" at "10.0.0.3" of 50 kB waits for its caller
    And "next" needs 100 kB more
    Then "unread" is given up, and nothing else

  Scenario: A stream of events that buffers nothing is not given up
    Guards against sound streams that are cut although this frees no memory.
    Given an account of 1000 kB
    When a response to "events" at "10.0.0.1" of 0 kB waits for its caller
    And 1 s pass
    And a response to "unread" at "10.0.0.2" of 400 kB waits for its caller
    And 5 s pass
    And a response to "next" at "10.0.0.3" of 50 kB waits for its caller
    And "next" needs 100 kB more
    Then "unread" is given up, and nothing else

  Scenario Outline: A request that was read whole is served although it was given up before its end
    Guards against a complete request that is cut as it was given up between the read of its last
    bytes and the note that they were the last ones.
    Given an account of 1000 kB
    When "a" at "10.0.0.1" has sent 600 kB of 700 kB
    And 2 s pass
    And "b" at "10.0.0.1" has sent 100 kB of 900 kB
    And "b" needs 400 kB more
    Then "a" is given up, and nothing else
    When "a" is noted as <noted>
    Then nothing is given up
    And no bytes are about to be released

    Examples:
      | noted     |
      | complete  |
      | restarted |
