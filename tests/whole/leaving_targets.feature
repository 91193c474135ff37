Feature: Leaving targets
  Guards against new requests to a target that is about to stop.

  Scenario Outline: A target marked as leaving <source> gets no new requests
    Given 3 entry instances
    When target 0 is marked as leaving <source>
    Then after 3 s no entry instance sends it new requests

    Examples:
      | source               |
      | on the instance list |
      | by its load report   |
      | by an operator       |
