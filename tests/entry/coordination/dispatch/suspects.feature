Feature: Retries of suspects
  Guards against counting the crash of a target against a request that was only waiting for its lease
  of that target.

  Scenario: A target that crashed while a suspect waited for its lease does not count against it
    Given a suspect that is placed on target "e1", where another suspect runs for 2 seconds
    When target "e1" crashes while it runs the other suspect
    Then the waiting suspect is answered by target "e2"
    And it is not suspected any more

  Scenario: A suspect runs on the target for which it has waited
    Given a suspect that is placed on target "e1", where another suspect runs for 2 seconds
    When the other suspect finishes
    Then the waiting suspect is answered by target "e1"
