Feature: Operator workflow with real processes
  Guards against operator actions that abort requests, get lost, or revert the change of another
  operator.

  Scenario: Apply, conflict, key rotation, drain and trace
    Given a deployment of 3 entry instances without a configuration
    When the operator checks a file with 3 errors
    Then the command exits with code 2 and prints 3 findings
    When the operator renders and applies the example
    Then the command prints "version 1 is accepted, 13 items changed"
    And version 1 becomes active at every entry instance
    When the operator applies the example again
    Then the command prints "version 1 is the same"
    When two operators change the weight of one organisation from version 1
    Then the first change is accepted and the second is a conflict that reports "organisation/lowell-crews"
    And the command "history" prints "organisation/lowell-crews"
    And the command "diff -" with the example prints "1 items differ from version 2"
    And the command "show organisation/lowell-crews" prints "9.0"
    When the operator adds a second key for "lowell-crews" and then removes the first
    Then both keys are valid between the steps, and only the second afterwards
    When callers send requests continuously
    And the operator drains a target
    Then the target gets no new request after 3 seconds
    And no request of the callers was aborted or answered wrongly
    And the command "status" prints every entry instance and target
    And the command "trace" shows the last request with its target
    And status, trace and logs contain neither prompts nor keys

  Scenario: Replace an entry instance under load
    Given a deployment of 3 entry instances without a configuration
    When the operator renders and applies the example
    And version 1 becomes active at every entry instance
    And callers send requests continuously
    And the operator drains an entry instance and starts a new one
    Then no request of the callers was aborted or answered wrongly

  Scenario: A wrong operator key is rejected with a clear error
    Given a deployment of 1 entry instances without a configuration
    When the operator renders and applies the example
    And the command "status" is run with the key "wrong"
    Then the command exits with code 6 and prints 0 findings
