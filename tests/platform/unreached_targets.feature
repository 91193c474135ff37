Feature: Instances that reach no target, with real processes
  Guards against callers that are refused for as long as their instance is cut off from all targets
  while other instances reach them, against second runs of bookings that were sent through a peer,
  and against sound targets and requests that are suspected because of the cut.

  Scenario Outline: Callers of an instance that is cut off from all targets are served
    Given 3 entry processes that can be cut off from all targets
    When the connections of <count> of them to all targets <how> while callers send requests
    Then all requests after the first second were served at the first attempt
    And no guarantee was violated
    And no cause of crashes is suspected
    And the directory leaves out the instances that are cut off
    And they send requests to targets again after the cut

    Examples:
      | count | how                           |
      | 1     | hang                          |
      | 1     | are reset                     |
      | 1     | live on and new ones refused  |
      | 2     | are reset                     |

  Scenario Outline: A stream goes on through a peer when its instance is cut off
    Given 3 entry processes that can be cut off from all targets
    When the connections of 1 of them to all targets <how> while callers stream
    Then all requests were answered
    And no guarantee was violated

    Examples:
      | how       |
      | hang      |
      | are reset |

  Scenario: A slow booking is answered if its connection outlives the begin of the cut
    Given 3 entry processes that can be cut off from all targets
    When new connections of 1 of them to all targets are refused while slow bookings run
    Then all requests were answered
    And no guarantee was violated

  Scenario: Requests that a peer runs when it is killed are resumed, or never sent again
    Given 3 entry processes that can be cut off from all targets
    When a peer of an instance that is cut off is killed while callers send requests
    Then no guarantee was violated
    And all streams and lookups were answered

  Scenario: Requests are refused at once while no instance reaches a target
    Given 3 entry processes that can be cut off from all targets
    When the connections of all of them to all targets are reset
    Then lookups are refused within 0.5 seconds

  Scenario: A peer checks the caller's key again
    Given 3 entry processes that can be cut off from all targets
    When a request with an unknown key is relayed to a peer
    Then the peer states that it has not run

  Scenario Outline: A peer runs no request by routes that are older than those of the sender
    Given 3 entry processes that can be cut off from all targets
    When a request that routes version <version> accepted is relayed to a peer
    Then the peer <result>

    Examples:
      | version | result                     |
      | 0       | has run it                 |
      | 9999999 | states that it has not run |

  Scenario: A peer takes the head of each request that callers may send
    Given 3 entry processes that can be cut off from all targets
    When a request whose head has as many bytes as callers may send is relayed to a peer in parts
    Then the peer has run it
