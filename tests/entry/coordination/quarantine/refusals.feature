Feature: Refused causes of crashes in the platform's store
  Guards against a crashing request that comes through again after all entry instances have ended.

  Scenario: A refusal outlasts the end of all instances
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And 10 seconds pass for all instances
    And all instances end and start again
    Then request "a" is refused for 110 seconds

  Scenario: A refusal is saved when the store is available again
    Given 2 instances that count crashes
    And the store of refusals is unavailable
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And the store of refusals becomes available
    And the instances save their refusals
    And all instances end and start again
    Then request "a" is refused at all instances

  Scenario: An instance that starts without the store applies refusals later
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    Given the store of refusals is unavailable
    When all instances end and start again
    Then request "a" is not suspected at any instance
    When the store of refusals becomes available
    And the instances load their refusals
    Then request "a" is refused at all instances

  Scenario: An old refusal is removed from the store
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And 1000 seconds pass for all instances
    And all instances end and start again
    Then request "a" is not suspected at any instance
    And the store has no refusal

  Scenario: Only the instance that decides a refusal saves it
    Given 3 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And the instances look for the refusals that they have heard of
    And the instances save their refusals
    Then the store was written once

  Scenario: A refusal is saved although the instance that decided it ended while the store was away
    Guards against a refusal that all instances know and none saves, so that it ends with them.
    Given 3 instances that count crashes
    And the store of refusals is unavailable
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And instance 0 ends for good
    And the instances look for the refusals that they have heard of
    And the store of refusals becomes available
    And the instances look for the refusals that they have heard of
    And the instances save their refusals
    And all instances end and start again
    Then request "a" is refused at all instances

  Scenario: A refusal that was released is not saved by an instance that has heard of it
    Given 3 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And an operator releases "a" at instance 1
    And the instances look for the refusals that they have heard of
    And the instances save their refusals
    Then the store has no refusal

  Scenario: A released cause is sent to targets again, also after a restart
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And an operator releases "a" at instance 1
    Then request "a" is not suspected at any instance
    When all instances end and start again
    Then request "a" is not suspected at any instance

  Scenario: A cause is not released without the store
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    Given the store of refusals is unavailable
    When an operator releases "a" at instance 1
    Then request "a" is refused at all instances

  Scenario: A refused prompt part that has succeeded is not refused again after a restart
    Given 2 instances that count crashes
    When request "a" with parts "p" crashes targets "e1 e2" at instance 0
    And request "b" with parts "p" crashes targets "e3" at instance 0
    And the instances save their refusals
    Then a new request with parts "p" is refused at all instances
    When request "c" with parts "p" succeeds at instance 1
    And the instances save their refusals
    And all instances end and start again
    Then a new request with parts "p" is not refused at any instance
    And the store has no refusal

  Scenario: A refusal that ends during an outage of the store is removed afterwards
    Given 2 instances that count crashes
    When request "a" with parts "p" crashes targets "e1 e2" at instance 0
    And request "b" with parts "p" crashes targets "e3" at instance 0
    And the instances save their refusals
    Given the store of refusals is unavailable
    When request "c" with parts "p" succeeds at instance 1
    And the instances save their refusals
    And the store of refusals becomes available
    And the instances save their refusals
    Then the store has no refusal

  Scenario: The log line of a restored refusal has the time that is left
    Given 1 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And 10 seconds pass for all instances
    And the log is recorded while all instances end and start again
    Then the log has the events "REFUSAL_RESTORED"
    And the refusal in the log has 110 seconds left

  Scenario: A refusal that was cleared while the store was away is not restored from it
    Given 2 instances that count crashes
    When request "a" with parts "p" crashes targets "e1 e2" at instance 0
    And request "b" with parts "p" crashes targets "e3" at instance 0
    And the instances save their refusals
    And request "c" with parts "p" succeeds at instance 1
    And the instances load their refusals
    Then a new request with parts "p" is not refused at any instance
    And no cause is counted as refused at any instance

  Scenario: A refusal that a copy of the store lacks is written again
    Guards against a crashing request that comes through once all instances have started again.
    Given 3 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And the store of refusals loses all rows with its return from a copy
    Then 3 rows were logged as written again
    When all instances end and start again
    Then request "a" is refused at all instances

  Scenario: A refusal that a copy lacks is written again although the instance that saved it has ended
    Given 3 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And instance 0 ends for good
    And the store of refusals loses all rows with its return from a copy
    Then 2 rows were logged as written again
    When all instances end and start again
    Then request "a" is refused at all instances

  Scenario: A refusal that was released does not return with a copy of the store
    Guards against refusing a sound request again that an operator has released.
    Given 2 instances that count crashes
    When request "a" crashes targets "e1 e2 e3" at instance 0
    And the instances save their refusals
    And the instances look for the refusals that they have heard of
    And a copy of the store of refusals is made
    And an operator releases "a" at instance 1
    And the instances save their refusals
    And the store of refusals returns from a copy of before
    Then the store has no refusal
    And 0 rows were logged as written again
