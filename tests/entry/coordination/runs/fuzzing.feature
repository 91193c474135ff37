Feature: Run records in any order of failures
  Guards against a second run and a false "not run" under lost replies, dropped and delayed writes,
  outages, pauses, deaths, clock steps and racing repeats.

  Scenario: No order of failures makes a call run twice
    When the state machine of run records is run
