Feature: Short soaks with real processes
  Guards against promises that break when faults overlap: cut, silent and reset connections, killed,
  paused and restarted processes, and a store that is away.

  Scenario Outline: No promise is broken under random faults
    When the faults of seed <seed> are injected for <seconds> seconds
    Then the soak finds nothing

    Examples: A new seed for each change of the soak; seeds that failed once stay, with their cause
      | seed | seconds | cause            |
      | 7    | 10      | none, short soak |
