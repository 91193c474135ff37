Feature: Changes of routes and keys under faults of some instances, with real processes
  Guards against an instance that keeps an older version, or returns to one, after it was paused, killed,
  flooded, or cut off from the store while versions changed. The play is that of version_play.

  Scenario: Each instance has the last version after the faults of a seed
    When versions change for 8 seconds under the faults of seed 1 on 4 instances
    Then several versions and faults were played
    And no instance served an older version
