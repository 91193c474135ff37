Feature: Leaving targets
  Guards against new work for a target that is about to stop.

  Scenario Outline: A target marked <way> gets no new work
    Given 3 entry instances
    When target 0 is marked as leaving <way>
    Then after 3 s no entry instance sends it new work

    Examples:
      | way                  |
      | on the instance list |
      | by its load report   |
      | by an operator       |
