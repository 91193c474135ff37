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
