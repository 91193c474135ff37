Feature: Requests through peers
  Guards against callers that are refused while other instances reach targets, against requests that
  go round between instances or run more often than their route allows, and against losses that make
  other instances avoid sound targets.

  Scenario: An instance that is cut off from all targets sends requests to a peer at once
    Given an instance that is cut off, and 2 peers that reach targets
    When a lookup arrives and the peer answers it
    Then no target and 1 peer received the request
    And the caller of the relayed request has received status 200

  Scenario: The cut is found out while a request is tried
    Given an instance that is not known to be cut off, and 2 peers that reach targets
    When a booking arrives and the peer answers it
    Then 3 targets and 1 peer received the request
    And the caller of the relayed request has received status 200

  Scenario: A booking that a peer may have run is never sent again
    Given an instance that is cut off, and 2 peers that reach targets
    When a booking arrives and the peer breaks off
    Then no target and 1 peer received the request
    And the relayed request has failed

  Scenario: A booking that a peer refuses goes to another one, without the retry budget
    Given an instance that is cut off, and 2 peers that reach targets
    And no retry budget is left
    When a booking arrives and the peer refuses it
    Then no target and 2 peers received the request
    And the caller of the relayed request has received status 200

  Scenario: A booking that a target of a peer refuses goes to another peer with retry budget
    Given an instance that is cut off, and 2 peers that reach targets
    When a booking arrives and a target of the peer refuses it
    Then no target and 2 peers received the request
    And the caller of the relayed request has received status 200

  Scenario: A booking that a target of a peer refuses goes to no other peer without retry budget
    Given an instance that is cut off, and 2 peers that reach targets
    And no retry budget is left
    When a booking arrives and a target of the peer refuses it
    Then no target and 1 peer received the request
    And the relayed request was refused

  Scenario: A lookup that two peers have run fails
    Given an instance that is cut off, and 4 peers that reach targets
    When a lookup arrives and all peers break off
    Then no target and 2 peers received the request
    And the relayed request has failed

  Scenario: A request that all peers refuse is refused after a few of them
    Given an instance that is cut off, and 9 peers that reach targets
    When a lookup arrives and all peers refuse it
    Then no target and 3 peers received the request
    And the relayed request was refused

  Scenario: A stream that its peer breaks off is resumed through another peer
    Given an instance that is cut off, and 2 peers that reach targets
    When a stream arrives and the peer breaks off after event 3
    Then no target and 2 peers received the request
    And the second peer was asked to resume after event 3
    And the caller of the relayed request has received status 200

  Scenario: A request from a peer is never sent to another one
    Given an instance that is cut off, and 2 peers that reach targets
    When a lookup arrives from a peer
    Then no target and 0 peers received the request
    And the relayed request was refused

  Scenario: Targets are tried if no peer reaches any
    Given an instance that is cut off, and 0 peers that reach targets
    When a lookup arrives and the targets are down
    Then 6 targets and 0 peers received the request
    And the relayed request was refused

  Scenario: A cut makes other instances avoid one target at most, and accuses no request
    Given an instance that is not known to be cut off, and 0 peers that reach targets
    When 5 streams arrive and their connections are reset
    Then the other instances were told of at most 1 lost target and of no crash
