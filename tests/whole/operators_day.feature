Feature: An operator's day with real processes
  Guards against a step of an operator's work that cuts requests off, is lost, or reverts another
  operator's change.

  Scenario: Apply, conflict, drain, roll and trace
    Given a deployment of 3 entry instances without a configuration
    When the operator checks a file with 3 mistakes
    Then the command ends with code 2 and names 3 findings
    When the operator prints and applies the example
    Then the command prints "version 1 is accepted, 13 items changed"
    And every entry instance comes into force with version 1
    When the operator applies the example again
    Then the command prints "version 1 is the same"
    When two operators change the weight of one organisation from version 1
    Then the first change is accepted and the second is a conflict that names "organisation/lowell-crews"
    And the command "history" prints "organisation/lowell-crews"
    And the command "diff -" with the example prints "1 items differ from version 2"
    And the command "show organisation/lowell-crews" prints "9.0"
    When the operator adds a second key for "lowell-crews" and then removes the first
    Then both keys work between the steps, and only the second works afterwards
    When callers send requests without a pause
    And the operator drains a target
    Then the target gets no new request after 3 seconds
    And no request of the callers was cut off or wrong
    And the command "status" prints every entry instance and target
    And the command "trace" shows the last request with its target
    And status and the records name neither prompts nor keys

  Scenario: Roll an entry instance under load
    Given a deployment of 3 entry instances without a configuration
    When the operator prints and applies the example
    And every entry instance comes into force with version 1
    And callers send requests without a pause
    And the operator drains an entry instance and starts it anew
    Then no request of the callers was cut off or wrong

  Scenario: A wrong operator key is refused with a clear error
    Given a deployment of 1 entry instances without a configuration
    When the operator prints and applies the example
    And the command "status" is run with the key "wrong"
    Then the command ends with code 6 and names 0 findings
