Feature: Beliefs about targets
  Guards against requests for targets that are gone, and against targets that are shunned for good.

  Scenario: A lost target pauses, longer each time, and is used again after an answer
    Given a listed target
    When it is lost
    Then it is not usable for 0.6 seconds
    When it is lost
    Then it is not usable for 1.2 seconds
    When it answers
    And it is lost
    Then it is not usable for 0.6 seconds

  Scenario: Losses that are reported at one time count once
    Given a listed target
    When it is lost
    And it is lost
    Then it is not usable for 0.6 seconds

  Scenario: Failures weigh less as time passes
    Given a listed target
    When it fails 6 requests
    Then its share of failures is over 0.5
    When 12 seconds pass for it
    Then its share of failures is under 0.2

  Scenario: A target that leaves does not come back under its incarnation
    Given a listed target
    When the list calls it leaving, and ready again a moment later
    Then it is not usable

  Scenario: Nothing is believed of a target that started anew
    Given a listed target
    When it is lost
    And the list shows it with another incarnation
    Then it is usable
