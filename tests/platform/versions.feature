Feature: Changes of routes and keys under faults of some instances, with real processes
  Guards against an instance that keeps an older version, or returns to one, after it was paused, killed,
  flooded, or cut off from the store while versions changed. The play is that of version_play.

  Scenario: Each instance has the last version after the faults of a seed
    When versions change for 8 seconds under the faults of seed 1 on 4 instances
    Then several versions and faults were played
    And no instance served an older version

  Scenario: Each instance has the last version although all open connections to the store are silent
    Guards against a long poll as the only proof that the routes are current.
    When all open connections become silent just before a version on 9 instances
    Then no instance served an older version
