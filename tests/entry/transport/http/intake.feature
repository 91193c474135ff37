Feature: Rejections of what a listener does not buffer
  Guards against rejections that a caller does not get, as its connection is reset while it still
  sends, and against connections and memory that stay in use after a rejection.

  Scenario Outline: A body that is announced too large is rejected before it arrives
    Guards against a body that is read in full only to be rejected.
    Given a listener that takes bodies of 100 kB and buffers <buffer>
    When a caller announces a body of 200 kB and sends <sent> kB of it
    Then the caller gets status 413
    And its connection is closed, and nothing is buffered

    Examples:
      | buffer         | sent |
      | without bound  | 0    |
      | without bound  | 150  |
      | 1000 kB        | 0    |
      | 1000 kB        | 150  |

  Scenario Outline: A caller that goes on to send gets its rejection
    Guards against a reset that takes the rejection from a caller that has yet to read it.
    Given a listener that takes bodies of 100 kB and buffers 1000 kB
    When a caller sends <sent> kB of a body in chunks of <chunk> bytes before it reads
    Then the caller gets status 413
    And its connection is closed, and nothing is buffered

    Examples:
      | sent | chunk |
      | 101  | 64000 |
      | 600  | 64000 |
      | 120  | 100   |

  Scenario: A body is served within the limits, and its memory is free afterwards
    Guards against an account that fills up with the requests of kept connections.
    Given a listener that takes bodies of 100 kB and buffers 1000 kB
    When a caller sends 30 bodies of 100 kB on one connection
    Then each of them has status 200
    And nothing is buffered by the listener

  Scenario: A body that stops before its end is rejected once its memory is needed
    Guards against memory that callers hold without an end, and a rejection without a time to retry.
    Given a listener that takes bodies of 100 kB and buffers 400 kB
    When 4 callers stop before the end of a body of 90 kB, and another one sends a body of 90 kB
    Then the other caller gets status 200
    And at least 1 of the callers that stopped gets status 503 with a time to retry

  Scenario: The longest idle connection makes place for a new one
    Guards against callers that hold all connections and send nothing.
    Given a listener that accepts 16 connections
    When 40 callers connect and send nothing, and another one sends a request
    Then the other caller gets status 200
    And at most 17 connections are open

  Scenario Outline: The body of a stream of HTTP/2 is counted, too
    Guards against callers that go round the account with another version of the protocol.
    Given a listener that takes bodies of 200 kB and buffers 100 kB
    When a caller sends a body of <size> kB by HTTP/2
    Then the caller gets status <status> by HTTP/2
    And nothing is buffered by the listener

    Examples:
      | size | status |
      | 80   | 200    |
      | 150  | 503    |

  Scenario: A request that gets no memory at all is rejected with a response
    Guards against a reset without a response while the first bytes of a request wait in the socket.
    Given a listener that takes bodies of 100 kB and buffers 10 kB
    When a caller announces a body of 1 kB and sends 1 kB of it
    Then the caller gets status 503
    And the response tells when to retry
    And its connection is closed, and nothing is buffered

  Scenario: The bytes that have reached a caller are told apart from those that wait for it
    Guards against a slow caller that counts as one that reads nothing, as the kernel buffers the rest.
    Given a connection on which more is sent than its caller reads
    Then the bytes that have reached the caller do not grow while it reads nothing
    And they grow when it reads 20000 bytes
    And a closed connection tells no number
