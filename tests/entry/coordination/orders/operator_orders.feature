@fleet.eaveline
Feature: Operators' orders, with real processes
  Guards against orders that reach an engine without an increasing fencing number.

  Scenario: Orders through different entry instances carry increasing fencing numbers
    When an operator orders '{"kind": "change_role", "role": "prefill"}' through every entry instance
    Then every order is answered with status 200
    And the engine got fencing numbers 1, 2, 3

  Scenario: An order without a required field is refused with the path of the field
    When an operator orders '{"kind": "load_model", "model": "advisor"}' through every entry instance
    Then every order is answered with status 400
    And the responses name "$.version"
