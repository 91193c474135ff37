Feature: Requests that crash their targets, with real processes
  Guards against retrying a request that crashes its targets on one target after the other.

  Scenario: A request that crashes its targets is quarantined after two crashes
    Given a deployment with 5 proxied engines
    When 6 callers stream responses of 300 tokens through all entry instances
    And a caller sends a prompt that crashes its target through one entry instance after the other
    Then at most 2 engines have crashed
    And the last crashing prompt was refused with "quarantined" and run state "not-run"
    And all other callers get the complete responses to their own prompts
    When the callers' prompts are sent again
    Then all other callers get the complete responses to their own prompts
