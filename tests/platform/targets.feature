Feature: Connections to targets
  Guards against a target that died being taken for a living one, which leaves a request that crashes
  targets uncounted.

  Scenario Outline: A target lives if it accepts a connection and keeps it
    Given a target that <does>
    Then it <lives>

    Examples:
      | does                                        | lives              |
      | keeps connections open                      | counts as living   |
      | closes connections after it accepted them   | counts as dead     |
      | resets connections after it accepted them   | counts as dead     |
      | closes its listener with connections queued | counts as dead     |
      | has no listener                             | counts as dead     |
