Feature: Run records under random faults
  Guards against a call that runs twice and a wrong "not run", under lost replies, dropped and
  delayed writes, outages, pauses, crashes, clock steps and concurrent retries.

  Scenario: No sequence of faults makes a call run twice
    When the state machine of run records is run
