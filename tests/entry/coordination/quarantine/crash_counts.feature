Feature: Crash counts shared by messages
  Guards against requests that crash one target after the other, and against sound requests that are
  refused because messages between entry instances were lost, repeated or late.

  Scenario: A request is refused on all instances after the third crash
    Given 3 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    Then request "a" is refused at all instances

  Scenario: A late message does not revive a suspicion that was cleared
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2" at instance 0
    And request "a" succeeds at instance 1
    And all messages so far are delivered again
    Then request "a" is not suspected at any instance

  Scenario: A lost withdrawal is repeated
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2" at instance 0
    And request "a" succeeds at instance 1, but its message is lost
    And the instances repeat their recent suspicions
    Then request "a" is not suspected at any instance

  Scenario: Crashes before a success do not count later
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2" at instance 0
    And request "a" succeeds at instance 1
    And request "a" crashes targets "e3 e4" at instance 0
    Then request "a" is suspected, but not refused, at all instances

  Scenario: A target that crashes several times for messages that arrive twice counts once
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2" at instance 0
    And all messages so far are delivered again
    Then request "a" is suspected, but not refused, at all instances

  Scenario: A refusal ends, and a further crash doubles its time
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    Then request "a" is refused for 120 seconds
    When 121 seconds pass for all instances
    Then request "a" is suspected, but not refused, at all instances
    When request "a" crashes targets "e4" at instance 1
    Then request "a" is refused for 240 seconds

  Scenario: The time of a refusal is bounded after many crashes
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And it crashes another target after each of 60 refusals
    Then request "a" is refused for 15360 seconds

  Scenario: The memory for suspicions is bounded
    Given 1 instances that count crashes
    When 5000 different requests crash a target at instance 0
    Then at most 4096 suspicions are known
    When 601 seconds pass for all instances
    Then at most 0 suspicions are known

  Scenario: Messages with many crashes of targets with long names fit into datagrams
    Given 2 instances that count crashes
    When 20 requests crash 32 targets with names of 200 characters each at instance 0
    And the instances repeat their recent suspicions
    Then no message is larger than a datagram
    And every message about the 20 requests has arrived at all instances

  Scenario: A known crash is counted again when there is no room for a new cause
    Given 1 instances that count crashes
    When request "a" crashes targets "e1" at instance 0
    And 1 seconds pass for all instances
    And 4095 different requests crash a target at instance 0
    And request "a" with parts "p" crashes targets "e1" at instance 0
    Then request "a" is suspected, but not refused, at all instances

  Scenario: Log lines say how a refusal began and how it ended
    Given 1 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And 121 seconds pass for all instances
    And the log is recorded while request "a" is assessed
    Then the log has the events "REFUSAL_EXPIRED"
