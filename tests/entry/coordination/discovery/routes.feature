Feature: Following the routes
  Guards against routes that go back to an older version, and against an instance that serves old
  routes because its connection or the store failed.

  Scenario: A change is in force at once
    Given an instance that follows a store with version 3
    When version 5 is put in force
    Then the instance has version 5 within 50 ms

  Scenario: An older version is never put in force
    Given an instance that follows a store with version 5
    When the store answers with version 4
    Then the instance has version 5 within 50 ms

  Scenario: A connection that went silent does not hide a version that a peer has
    Given an instance that follows a store with version 3
    And the query for changes is never answered
    When version 5 is put in force and a peer announces it
    Then the instance has version 5 within 1000 ms

  Scenario: A peer is asked while the store is away
    Given an instance that follows a store with version 3
    When the store goes away and a peer announces version 6
    Then the instance has version 6 within 2500 ms

  Scenario: A store that forgot its history is read anew
    Given an instance that follows a store with version 3
    When the history is lost while version 7 is put in force
    Then the instance has version 7 within 100 ms

  Scenario: What a peer sends and cannot be read is ignored
    Given an instance that follows a store with version 3
    When the store goes away and a peer announces version 6 but sends nonsense
    Then the instance has version 3 within 2500 ms

  Scenario: An instance that hears of no newer version does not wake to look for one
    Given an instance that follows a store with version 3
    Then the instance looked for newer versions at most 2 times in 10 seconds
