Feature: Following the list of targets
  Guards against work for targets that are leaving, and against a whole fleet that is dropped because
  the store was away.

  Scenario: A watcher's answer reaches an instance that does not ask
    Given a store that lists "a b c"
    And a watcher and another instance that hears it
    When the store lists "a b~ d" a little later
    Then the other instance knows "a b~ d" within 100 ms
    And the store was asked at most twice since the change

  Scenario: An instance that hears no watcher asks itself
    Given a store that lists "a b"
    And a watcher and another instance that hears it
    When the watcher stops and the store lists "a"
    Then the other instance knows "a" within 2500 ms

  Scenario: A target that is missing after an outage is kept until it had time to return
    Given a store that lists "a b c"
    And a watcher and another instance that hears it
    When the store is away for 6 seconds and then lists "a"
    Then the watcher knows "a b c" within 1600 ms
    And the watcher knows "a" within 5000 ms

  Scenario: A target that left before an outage stays gone
    Given a store that lists "a b"
    And a watcher and another instance that hears it
    When the store lists "a" a little later
    And the store is away for 6 seconds and then lists "a"
    Then the watcher knows "a" within 5000 ms

  Scenario: A store that forgot its history is read anew
    Given a store that lists "a b"
    And a watcher and another instance that hears it
    When the store forgets its history and lists "b c"
    Then the watcher knows "b c" within 500 ms

  Scenario: An old answer does not bring back what has gone
    Given a store that lists "a b"
    And a watcher and another instance that hears it
    When the store lists "a" a little later
    And a notice of the list before arrives late
    Then the other instance knows "a" within 100 ms

  Scenario: A notice that does not fit makes the instance read
    Given a store that lists "a b"
    And a watcher and another instance that hears it
    When a notice is lost while the store lists "a c" and then "a c d"
    Then the other instance knows "a c d" within 500 ms

  Scenario: An instance that hears a watcher does not wake to look whether it should ask
    Given a store that lists "a b"
    And a watcher and another instance that hears it
    Then the other instance ran at most 14 times in 10 seconds
