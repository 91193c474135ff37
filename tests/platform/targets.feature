Feature: Connections to targets
  Guards against taking a crashed target for a living one: then the crash is not counted against the
  request that caused it.

  Scenario Outline: A target is alive if it accepts a connection and keeps it open
    Given a target that <does>
    Then the target <status>

    Examples:
      | does                                        | status             |
      | keeps connections open                      | counts as living   |
      | closes connections after it accepted them   | counts as dead     |
      | resets connections after it accepted them   | counts as dead     |
      | closes its listener with connections queued | counts as dead     |
      | has no listener                             | counts as dead     |
