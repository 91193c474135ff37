Feature: Configuration in force
  Guards against stale look-ups after a change, and against a step back to an older version.

  Scenario: A rolled key opens no organisation any more
    Given a configuration in which "dover-roofing" holds the keys "old"
    When version 2 gives "dover-roofing" the keys "new"
    Then key "old" belongs to nobody
    And key "new" belongs to "dover-roofing"

  Scenario: A key that moves to another organisation in one version opens the new one
    Given a configuration in which "dover-roofing" holds the keys "shared"
    When version 2 moves "shared" from "dover-roofing" to "keene-triplex"
    Then key "shared" belongs to "keene-triplex"

  Scenario: A removed organisation has no key
    Given a configuration in which "dover-roofing" holds the keys "old"
    When version 2 removes "dover-roofing"
    Then key "old" belongs to nobody

  Scenario: A version that does not follow is ignored
    Given a configuration in which "dover-roofing" holds the keys "old"
    When version 5 gives "dover-roofing" the keys "new"
    Then version 1 is in force
    And key "old" belongs to "dover-roofing"

  Scenario: A snapshot of a lower version is ignored
    Given a configuration in which "dover-roofing" holds the keys "old"
    When version 2 gives "dover-roofing" the keys "new"
    And a snapshot of version 1 with no items arrives
    Then version 2 is in force
    And key "new" belongs to "dover-roofing"
