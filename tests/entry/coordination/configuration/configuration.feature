Feature: Configuration versions
  Guards against versions that revert, accepted changes that are lost, and conflicts between
  operators who changed different items.

  Scenario: Concurrent changes, lost replies, stale reads, restarts and lagging peers
    When 150 sequences of 25 steps of the configuration machine run
    Then every sequence agreed with the oracle
