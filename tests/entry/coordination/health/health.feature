Feature: Target health
  Guards against requests to unreachable targets, and against targets that are excluded forever.

  Scenario: A lost target is paused with backoff, which a response resets
    Given a listed target
    When it is lost
    Then it is not usable for 0.6 seconds
    When it is lost
    Then it is not usable for 1.2 seconds
    When it responds
    And it is lost
    Then it is not usable for 0.6 seconds

  Scenario: Losses reported during a pause count once
    Given a listed target
    When it is lost
    And it is lost
    Then it is not usable for 0.6 seconds

  Scenario: The failure rate decays over time
    Given a listed target
    When it fails 6 requests
    Then its failure rate is above 0.5
    When 12 seconds pass for it
    Then its failure rate is below 0.2

  Scenario: A leaving target stays unusable under the same incarnation
    Given a listed target
    When the listing shows it as leaving, and as ready again afterwards
    Then it is not usable

  Scenario: A restarted target starts with a clean health state
    Given a listed target
    When it is lost
    And the listing shows it with another incarnation
    Then it is usable

  Scenario: A target that announces its departure gets no more work, also without the listing
    Given a listed target
    When its answer says that it is leaving
    Then it is not usable
    And the other instances are told of its departure
    When the listing shows it no longer, and as ready again afterwards
    Then it is not usable

  Scenario: A departure that another instance has heard of holds here
    Given a listed target
    When another instance reports its departure
    Then it is not usable

  Scenario: A departure that is told before the list of targets holds once that has arrived
    Guards against an instance that has just started and uses a target that others know to be leaving.
    Given a target that is not listed yet
    When another instance reports its departure
    And the listing shows it no longer, and as ready again afterwards
    Then it is not usable

  Scenario Outline: A target that replaces a leaving one gets work
    Given a listed target
    When its answer says that it is leaving
    And the listing shows it with <change>
    Then it is usable

    Examples:
      | change              |
      | another incarnation |
      | another address     |

  Scenario: A target gets nothing during a pause for which it has asked, although it answers
    Given a listed target
    When it asks for a pause of 2 seconds
    And it responds
    Then it is not usable for 2 seconds

  Scenario: A shorter pause does not end a longer one
    Given a listed target
    When it asks for a pause of 3 seconds
    And it asks for a pause of 1 seconds
    Then it is not usable for 3 seconds

  Scenario: The share of a target grows after a pause
    Given a listed target
    When it asks for a pause of 2 seconds
    Then its share is 0
    When 3 seconds pass for it
    Then its share is 0.5
    When 1 seconds pass for it
    Then its share is 1

  Scenario: An absurdly long pause ends
    Given a listed target
    When it asks for a pause of 1000000 seconds
    And 301 seconds pass for it
    Then it is usable

  Scenario: A restarted target is not bound by the pause of its predecessor
    Given a listed target
    When it asks for a pause of 60 seconds
    And the listing shows it with another incarnation
    Then it is usable

  Scenario Outline: A pause holds when the listing changes, as long as the process is the same
    Given a listed target
    When it asks for a pause of 2 seconds
    And the listing shows <change>
    Then it is not usable for 2 seconds

    Examples:
      | change                                          |
      | it no longer, and as ready again afterwards     |
      | it with other slots                             |

  Scenario: The memory for what targets say is bounded, and departures fit into datagrams
    Given a listed target
    When 5000 targets with names of 200 characters announce their departure and ask for pauses
    Then at most 4096 departures are known, in messages that fit into datagrams
    When 601 seconds pass for it
    Then at most 0 departures are known, in messages that fit into datagrams
