Feature: Exchange between entry instances
  Guards against placements that are kept although they ended, and against instances that tell
  callers of peers which are gone.

  Scenario: A peer's placement counts here until it ends
    Given an instance that hears peer "10.0.0.2:7"
    When the peer tells that it placed "r1" on engine "e00"
    Then engine "e00" has 1 request
    When the peer tells that "r1" has ended as "failed"
    Then engine "e00" has 0 requests
    And the verdict "failed" on engine "e00" was taken over

  Scenario: A helper that a peer has lost gets no requests here
    Given an instance that hears peer "10.0.0.2:7"
    When the peer tells that helper "e01" is gone
    Then helper "e01" counts as lost here

  Scenario: A placement whose end was lost is dropped with the peer's next state
    Given an instance that hears peer "10.0.0.2:7"
    When the peer tells that it placed "r1" on engine "e00"
    And the peer's next state names no placement
    Then engine "e00" has 0 requests

  Scenario: The placements of a silent peer are dropped and callers are not sent there
    Given an instance that hears peer "10.0.0.2:7"
    And an instance that hears peer "10.0.0.3:7"
    When the peer tells that it placed "r1" on engine "e00"
    And only peer "10.0.0.3:7" is heard for 3 seconds
    Then engine "e00" has 0 requests
    And callers are told of "10.0.0.3 own"

  Scenario: An instance that hears nobody goes on telling of those it heard before
    Given an instance that hears peer "10.0.0.2:7"
    When no peer is heard for 3 seconds
    Then callers are told of "10.0.0.2 own"

  Scenario: A leaving peer is not told to callers
    Given an instance that hears peer "10.0.0.2:7"
    When the peer tells that it is leaving
    Then callers are told of "own"

  Scenario: States that arrive late or twice change nothing
    Given an instance that hears peer "10.0.0.2:7"
    When the peer tells that it is leaving
    And an older state of the peer arrives
    Then callers are told of "own"

  Scenario: A peer that is met is told of the others
    Given an instance that hears peer "10.0.0.2:7"
    And an instance that hears peer "10.0.0.3:7"
    Then peer "10.0.0.3:7" was told of "10.0.0.2:7"

  Scenario: A peer that knows no target is sent the list
    Given an instance that hears peer "10.0.0.2:7"
    When the peer tells that it knows no target
    Then it is sent the whole list

  Scenario: A few instances send the list to a peer that knows no target
    Given an instance that hears peer "10.0.0.2:7"
    And an instance that hears peer "10.0.0.0:1"
    And an instance that hears peer "10.0.0.0:2"
    And an instance that hears peer "10.0.0.0:3"
    When the peer tells that it knows no target
    Then it is not sent the list

  Scenario Outline: A peer that cannot know of suspected requests is told of all of them
    Given an instance that hears peer "10.0.0.2:7" and knows of a suspected request
    When the peer <returns>
    Then the peer was told of the suspected request <times> times

    Examples:
      | returns                             | times |
      | is heard for the first time         | 1     |
      | starts again                        | 2     |
      | is heard after 3 seconds of silence | 2     |
      | sends its next state                | 1     |

  Scenario: A suspicion that was told a moment ago goes with the next states, as it may be lost
    Given an instance that follows its peers, with the store at hand
    When it tells of a suspected request, with only peer "10.0.0.2:7" heard for 5 seconds in a run
    Then the peer was told of the suspected request 3 to 5 times, all of them in the first 3 seconds

  Scenario: The routes of a peer are fetched at its control address
    Given an instance that hears peer "10.0.0.2:7"
    Then version 1 was announced of "10.0.0.2:9"

  Scenario: The store is asked for peers until it answers
    Given an instance whose store is away for 5 seconds and then names "10.0.0.9:7"
    When no peer is heard for 8 seconds
    Then states were sent to "10.0.0.9:7"

  Scenario: An instance that hears peers does not ask the store for them
    Given an instance that follows its peers, with the store at hand
    When only peer "10.0.0.0:7" is heard for 8 seconds in a run
    Then it entered its own address once and asked for no others

  Scenario: Most instances are not entered in the store
    Given an instance that follows its peers, with the store at hand
    When 6 peers with lower addresses are heard for 8 seconds in a run
    Then it entered nothing

  Scenario Outline: In a large fleet a request on one target is told in its zone only
    Given an instance that hears <peers> others in zones z and y, with <engines> engines in each
    When it tells of a request on engine "<engine>" from its begin to its end
    Then its placement and end went to <reached> peers, and its first event to <first>

    Examples: e00 is in the own zone z, e01 in y; small fleets and zones with few engines have no cells
      | peers | engines | engine | reached | first |
      | 40    | 12      | e00    | 20      | 0     |
      | 40    | 12      | e01    | 40      | 40    |
      | 40    | 5       | e00    | 40      | 40    |
      | 20    | 12      | e00    | 20      | 20    |

  Scenario: In a large fleet a split prompt is told to all zones
    Given an instance that hears 40 others in zones z and y, with 12 engines in each
    When it tells of a request split over engines "e00" and "e02" from its begin to its end
    Then its placement and end went to 40 peers, and its first event to 40
    And the numbers in these scenarios are on both sides of the bounds

  Scenario Outline: In a large fleet a call of a plain service is told in its zone only, if it takes long
    Given an instance that hears <peers> others in zones z and y, with 12 engines in each
    When it tells of a call on target "e01" that ends as "answered" after <milliseconds> ms
    Then its placement and end went to <reached> peers, and its first event to 0

    Examples:
      | peers | milliseconds | reached |
      | 40    | 90           | 0       |
      | 40    | 110          | 20      |
      | 20    | 0            | 20      |

  Scenario Outline: The end of a short call that failed on its target is told in the zone
    Given an instance that hears 40 others in zones z and y, with 12 engines in each
    When it tells of a call on target "e01" that ends as "<verdict>" after 10 ms
    Then <told> peers were told of its end, and none of its placement

    Examples: failed calls of a service that fails a share of them would hide that it answers the rest
      | verdict | told |
      | lost    | 20   |
      | refused | 20   |
      | failed  | 0    |

  Scenario: A call that is told late is told with its age
    Given an instance that hears 40 others in zones z and y, with 12 engines in each
    When it tells of a call on target "e01" that ends as "answered" after 400 ms
    Then its placement was told as 405 ms old and due in -100 ms

  Scenario: One wake of the process sends the states to all peers
    When 12 peers are heard for 5 seconds in a run
    Then the states to 12 peers left at the same moments, the same one to all of them

  Scenario Outline: Messages arrive as they were sent
    Then a message of kind "<kind>" is the same after encoding and decoding

    Examples:
      | kind          |
      | Placing       |
      | Writing       |
      | PaceNotice    |
      | Ending        |
      | Suspicion     |
      | ListingNotice |
      | NodeState     |
      | NodeAddresses |
      | HelperLoss    |
      | PeerLoss      |
      | RepeatNotice  |
      | WatchRequest  |

  Scenario: Bytes that are no message are rejected
    Then 200 random datagrams are either rejected or decoded
