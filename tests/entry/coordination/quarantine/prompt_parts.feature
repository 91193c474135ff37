Feature: Prompt parts that crash engines
  Guards against requests that differ, but share a part of their prompts which crashes each engine, and
  against refusing sound requests that share another part or ran beside them.

  Scenario: Requests that share a crashing part are refused
    Given 3 instances that count crashes
    When request "a" with parts "first bad" crashes targets "e1 e2" at instance 0
    And request "b" with parts "first bad" crashes targets "e3" at instance 1
    Then a new request with parts "first bad" is refused at all instances
    And a new request with parts "other bad" is refused at all instances

  Scenario: A part that only one request crashed with is not refused
    Given 3 instances that count crashes
    When request "a" with parts "first bad" crashes targets "e1 e2 e3" at instance 0
    Then request "a" is refused at all instances
    And a new request with parts "first bad" is not refused at any instance

  Scenario: Another part of the crashing requests is not refused after a success with it
    Given 3 instances that count crashes
    When request "s" with parts "first" succeeds at instance 2
    And request "a" with parts "first bad" crashes targets "e1 e2" at instance 0
    And request "b" with parts "first bad" crashes targets "e3 e4" at instance 1
    Then a new request with parts "first bad" is refused at all instances
    And a new request with parts "first" is not refused at any instance

  Scenario: Of two parts without a success, the more specific one explains the crashes
    Given 3 instances that count crashes
    When request "a" with parts "first bad" crashes targets "e1 e2" at instance 0
    And request "b" with parts "first bad" crashes targets "e3" at instance 1
    Then a new request with parts "first" is not refused at any instance

  Scenario: A first part that crashes engines in requests with different second parts is refused
    Given 3 instances that count crashes
    When request "a" with parts "bad x" crashes targets "e1" at instance 0
    And request "b" with parts "bad y" crashes targets "e2" at instance 1
    And request "c" with parts "bad z" crashes targets "e3" at instance 2
    Then a new request with parts "bad" is refused at all instances
    And a new request with parts "x" is not refused at any instance

  Scenario: A part that was sound before is refused after more crashes without a success
    Given 3 instances that count crashes
    When request "s" with parts "bad" succeeds at instance 2
    And request "a" with parts "bad" crashes targets "e1 e2" at instance 0
    And request "b" with parts "bad" crashes targets "e3" at instance 1
    Then a new request with parts "bad" is not refused at any instance
    When request "b" with parts "bad" crashes targets "e4" at instance 1
    And request "c" with parts "bad" crashes targets "e5" at instance 2
    Then a new request with parts "bad" is refused at all instances

  Scenario: Successes clear a part that sound requests use beside crashes
    Given 3 instances that count crashes
    When request "a" with parts "first" crashes targets "e1 e2" at instance 0
    And request "s" with parts "first" succeeds at instance 1
    And request "b" with parts "first" crashes targets "e3" at instance 2
    Then a new request with parts "first" is not refused at any instance

  Scenario: A success of a request that still ran ends the refusal of its part
    Given 3 instances that count crashes
    When request "a" with parts "first" crashes targets "e1 e2" at instance 0
    And request "b" with parts "first" crashes targets "e3" at instance 1
    And request "s" with parts "first" succeeds at instance 2
    Then a new request with parts "first" is not refused at any instance

  Scenario: A single crash of many requests does not refuse a part
    Given 3 instances that count crashes
    When request "a" with parts "first" crashes targets "e1" at instance 0
    And request "b" with parts "first" crashes targets "e1" at instance 1
    And request "c" with parts "first" crashes targets "e1" at instance 2
    Then a new request with parts "first" is not refused at any instance

  Scenario: A part is refused for one service only
    Given 3 instances that count crashes
    When request "a" with parts "bad" crashes targets "e1 e2" at instance 0
    And request "b" with parts "bad" crashes targets "e3" at instance 1
    Then a new request with parts "bad" for another service is not refused at any instance

  Scenario: A refused part outlasts the end of all instances
    Given 2 instances that count crashes
    When request "a" with parts "bad" crashes targets "e1 e2" at instance 0
    And request "b" with parts "bad" crashes targets "e3" at instance 1
    And the instances save their refusals
    And all instances end and start again
    Then a new request with parts "bad" is refused at all instances
