Feature: Exchange between entry instances
  Guards against placements that are kept after they have ended, and against instances that give
  callers the addresses of peers that are no longer reachable.

  Scenario: A placement of a peer is counted until it ends
    Given an instance with a reachable peer "10.0.0.2:7"
    When the peer reports that it placed "r1" on engine "e00"
    Then engine "e00" has 1 request
    When the peer reports that "r1" ended with verdict "failed"
    Then engine "e00" has 0 requests
    And the verdict "failed" on engine "e00" was recorded

  Scenario: A helper that a peer reports as lost gets no requests
    Given an instance with a reachable peer "10.0.0.2:7"
    When the peer reports that helper "e01" is lost
    Then helper "e01" is recorded as lost

  Scenario: A placement whose end was lost is dropped with the peer's next state
    Given an instance with a reachable peer "10.0.0.2:7"
    When the peer reports that it placed "r1" on engine "e00"
    And the peer's next state contains no placement
    Then engine "e00" has 0 requests

  Scenario: The placements of a silent peer are dropped and callers do not get its address
    Given an instance with a reachable peer "10.0.0.2:7"
    And an instance with a reachable peer "10.0.0.3:7"
    When the peer reports that it placed "r1" on engine "e00"
    And only peer "10.0.0.3:7" sends states for 3 seconds
    Then engine "e00" has 0 requests
    And callers get the addresses "10.0.0.3 own"

  Scenario: An isolated instance still gives callers the addresses of its last peers
    Given an instance with a reachable peer "10.0.0.2:7"
    When no peer sends states for 3 seconds
    Then callers get the addresses "10.0.0.2 own"

  Scenario: Callers do not get the address of a leaving peer
    Given an instance with a reachable peer "10.0.0.2:7"
    When the peer reports that it is leaving
    Then callers get the addresses "own"

  Scenario Outline: Callers do not get the addresses of instances that reach no target, unless none does
    Given an instance that <own> targets, with a reachable peer "10.0.0.2:7"
    When the peer reports that it <peer> targets
    Then callers get the addresses "<addresses>"

    Examples:
      | own            | peer           | addresses    |
      | reaches        | reaches        | 10.0.0.2 own |
      | reaches        | does not reach | own          |
      | does not reach | reaches        | 10.0.0.2     |
      | does not reach | does not reach | 10.0.0.2 own |

  Scenario: An instance that begins to serve tells all peers of a large fleet at once
    Guards against directories that name few instances for 15 seconds after a start of all.
    Given an instance with 60 peers that learns the list of targets 1.3 seconds after its start
    When it runs for 2 seconds
    Then all peers were told between 1.3 and 1.4 seconds that it serves, and none before

  Scenario: The capacity of a peer is known from its states, and unknown from an older build
    Guards against addresses that are weighted by an old capacity, or fail with an older build.
    Given an instance with a reachable peer "10.0.0.2:7"
    When the peer advertises a capacity of 2151
    Then the peer's address has a capacity of 2151
    When the peer advertises a capacity of 1000
    Then the peer's address has a capacity of 1000
    When the peer sends a state without the fields after its features
    Then the peer's address has a capacity of 0

  Scenario Outline: An instance offers itself to callers once it can serve them
    Guards against instances that start while the store is away, report that they are ready and
    refuse each request: callers would choose them over instances that can serve.
    Given an instance that has learned <known>, with a reachable peer "10.0.0.2:7"
    Then callers get the addresses "<addresses>"

    Examples:
      | known                              | addresses    |
      | nothing                            | 10.0.0.2     |
      | the routes                         | 10.0.0.2     |
      | the list of targets                | 10.0.0.2     |
      | the routes and the list of targets | 10.0.0.2 own |

  Scenario: Outdated and duplicate states are ignored
    Given an instance with a reachable peer "10.0.0.2:7"
    When the peer reports that it is leaving
    And an older state of the peer arrives
    Then callers get the addresses "own"

  Scenario: A new peer is sent the addresses of the others
    Given an instance with a reachable peer "10.0.0.2:7"
    And an instance with a reachable peer "10.0.0.3:7"
    Then peer "10.0.0.3:7" was sent the address "10.0.0.2:7"

  Scenario: A peer that knows no target is sent the listing
    Given an instance with a reachable peer "10.0.0.2:7"
    When the peer reports that it knows no target
    Then it is sent the full listing

  Scenario: An instance that restarts after its clock was set back is heard again
    Given an instance with a reachable peer "10.0.0.2:7"
    When the peer restarts 5 seconds before its earlier start, by its clock
    And it learns that a higher incarnation is known
    Then the peer is known with its new state

  Scenario: A late state of an earlier process changes nothing
    Given an instance with a reachable peer "10.0.0.2:7"
    When a state of an earlier process of the peer arrives late
    Then the peer keeps its incarnation

  Scenario Outline: A notice with an incarnation that its sender could not exceed is unreadable
    Guards against a peer whose later states all count as older than one that was damaged.
    When a <notice> with incarnation <incarnation> arrives
    Then the notice is <result>

    Examples:
      | notice            | incarnation         | result     |
      | state             | 9223372036854775806 | decoded    |
      | state             | 9223372036854775807 | unreadable |
      | state             | 9223372036854775813 | unreadable |
      | loss of a peer    | 9223372036854775807 | unreadable |
      | stale incarnation | 9223372036854775807 | unreadable |

  Scenario Outline: An incarnation that is too large to be exceeded is ignored
    Guards against a datagram after which no state of this instance can be encoded any more.
    Given an instance with a reachable peer "10.0.0.2:7"
    When the peer reports that it knows incarnation <known> of the instance
    Then the states of the instance can be sent

    Examples:
      | known                |
      | 18446744073709551615 |
      | 18446744073709551614 |
      | 9223372036854775808  |

  Scenario: A peer that has started is told of targets that are leaving by their own word
    Guards against a peer that serves by the list before it knows that a listed target is leaving.
    Given an instance with a reachable peer "10.0.0.2:7"
    And a target that has announced its departure to it
    When the peer reports that it knows no target
    Then it is sent the full listing
    And it is told of the departure before the listing

  Scenario: Only the first instances by address send the listing to a peer that knows no target
    Given an instance with a reachable peer "10.0.0.2:7"
    And an instance with a reachable peer "10.0.0.0:1"
    And an instance with a reachable peer "10.0.0.0:2"
    And an instance with a reachable peer "10.0.0.0:3"
    When the peer reports that it knows no target
    Then it is not sent the listing

  Scenario Outline: A peer that may not know the suspected requests is sent all of them
    Given an instance with a reachable peer "10.0.0.2:7" and a suspected request
    When the peer <returns>
    Then the peer was sent the suspected request <times> times

    Examples:
      | returns                                    | times |
      | sends its first state                      | 1     |
      | restarts                                   | 2     |
      | sends a message after 3 seconds of silence | 2     |
      | sends its next state                       | 1     |

  Scenario: A recent suspicion is repeated with the next states, because the first message may be lost
    Given a running instance with an available store
    When it reports a suspected request, and only peer "10.0.0.2:7" sends states for 5 seconds of a run
    Then the peer was sent the suspected request 3 to 5 times, all of them in the first 3 seconds

  Scenario: The routes of a peer are fetched at its control address
    Given an instance with a reachable peer "10.0.0.2:7"
    Then routes version 1 was announced for "10.0.0.2:9"

  Scenario: Peers are looked up in the store until it is available
    Given an instance whose store is unavailable for 5 seconds and then lists "10.0.0.9:7"
    When no peer sends states for 8 seconds
    Then states were sent to "10.0.0.9:7"

  Scenario: An instance with reachable peers does not look up others in the store
    Given a running instance with an available store
    When only peer "10.0.0.0:7" sends states for 8 seconds of a run
    Then it registered its own address once and looked up no others

  Scenario: An instance registers again after the store has returned from a copy
    Guards against instances that start later, with their seeds down, and find no address in the store.
    Given a running instance with an available store that returns from a copy after 2 seconds
    When only peer "10.0.0.0:7" sends states for 8 seconds of a run
    Then it registered its own address twice, and counted one row as written again

  Scenario: Only the first instances by address are registered in the store
    Given a running instance with an available store
    When 6 peers with lower addresses send states for 8 seconds of a run
    Then it registered nothing

  Scenario Outline: In a large fleet a request on one target is reported in its zone only
    Given an instance with <peers> peers in zones z and y, and <engines> engines in each
    When it reports a request on engine "<engine>" from its start to its end
    Then its placement and end were sent to <reached> peers, and its decode start to <first>

    Examples: e00 is in the own zone z, e01 in y; no zone-local placement in small fleets or zones
      | peers | engines | engine | reached | first |
      | 40    | 12      | e00    | 20      | 0     |
      | 40    | 12      | e01    | 40      | 40    |
      | 40    | 5       | e00    | 40      | 40    |
      | 20    | 12      | e00    | 20      | 20    |

  Scenario: In a large fleet a split prefill is reported to all zones
    Given an instance with 40 peers in zones z and y, and 12 engines in each
    When it reports a request split over engines "e00" and "e02" from its start to its end
    Then its placement and end were sent to 40 peers, and its decode start to 40
    And the numbers in these scenarios are on both sides of the thresholds

  Scenario Outline: In a large fleet a long call of a plain service is reported in its zone only
    Given an instance with <peers> peers in zones z and y, and 12 engines in each
    When it reports a call on target "e01" that ends with verdict "answered" after <milliseconds> ms
    Then its placement and end were sent to <reached> peers, and its decode start to 0

    Examples:
      | peers | milliseconds | reached |
      | 40    | 90           | 0       |
      | 40    | 110          | 20      |
      | 20    | 0            | 20      |

  Scenario Outline: The end of a short call that its target lost or refused is reported in the zone
    Given an instance with 40 peers in zones z and y, and 12 engines in each
    When it reports a call on target "e01" that ends with verdict "<verdict>" after 10 ms
    Then <sent> peers were sent its end, and none its placement

    Examples: failed calls of a service that fails a share of them would hide that it responds to the rest
      | verdict | sent |
      | lost    | 20   |
      | refused | 20   |
      | failed  | 0    |

  Scenario: A call that is reported late is reported with its age
    Given an instance with 40 peers in zones z and y, and 12 engines in each
    When it reports a call on target "e01" that ends with verdict "answered" after 400 ms
    Then its placement was sent with an age of 405 ms and due in -100 ms

  Scenario: One wake-up of the process sends the states to all peers
    When 12 peers send states for 5 seconds of a run
    Then the states to 12 peers were sent at the same times, the same state to all of them

  Scenario Outline: Messages are decoded as they were encoded
    Then a message of kind "<kind>" is the same after encoding and decoding

    Examples:
      | kind           |
      | RequestPlaced  |
      | DecodeStarted  |
      | SlowdownNotice |
      | RequestEnded   |
      | Suspicions     |
      | TargetDepartures |
      | RoutesConfirmed |
      | StoreUnreachable |
      | StaleIncarnation |
      | ListingNotice  |
      | NodeState      |
      | NodeAddresses  |
      | HelperLoss     |
      | PeerLoss       |
      | RetryNotice    |
      | WatchRequest   |

  Scenario: Malformed datagrams are rejected
    Then 200 random datagrams are either rejected or decoded
