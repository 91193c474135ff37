Feature: Requests that crash their targets, with real processes
  Guards against retrying a request that crashes its targets on one target after the other.

  Scenario: A request that crashes its targets is quarantined after two crashes
    Given a deployment with 5 proxied engines
    When 6 callers stream answers of 300 tokens through all entries
    And a caller sends a prompt that crashes its target through every entry in turn
    Then 2 engines have died at most
    And the last crashing prompt was refused with "quarantined" and run state "not-run"
    And all other callers get their own whole answers
    When the callers' prompts are sent again
    Then all other callers get their own whole answers
