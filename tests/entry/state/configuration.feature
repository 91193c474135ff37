Feature: Active configuration
  Guards against stale lookups after a change, and against a return to an older version.

  Scenario: A replaced key no longer belongs to an organisation
    Given a configuration in which "dover-roofing" has the keys "old"
    When version 2 gives "dover-roofing" the keys "new"
    Then key "old" belongs to no organisation
    And key "new" belongs to "dover-roofing"

  Scenario: A key that one version moves to another organisation belongs to the new one
    Given a configuration in which "dover-roofing" has the keys "shared"
    When version 2 moves "shared" from "dover-roofing" to "keene-triplex"
    Then key "shared" belongs to "keene-triplex"

  Scenario: The keys of a removed organisation belong to no organisation
    Given a configuration in which "dover-roofing" has the keys "old"
    When version 2 removes "dover-roofing"
    Then key "old" belongs to no organisation

  Scenario: A version that does not directly follow the active one is ignored
    Given a configuration in which "dover-roofing" has the keys "old"
    When version 5 gives "dover-roofing" the keys "new"
    Then version 1 is in force
    And key "old" belongs to "dover-roofing"

  Scenario: A snapshot of a lower version is ignored
    Given a configuration in which "dover-roofing" has the keys "old"
    When version 2 gives "dover-roofing" the keys "new"
    And a snapshot of version 1 with no items arrives
    Then version 2 is in force
    And key "new" belongs to "dover-roofing"

  Scenario: An unreadable item blocks neither the rest of its version nor later versions
    Given a configuration in which "dover-roofing" has the keys "old"
    When version 2 has an unreadable "dover-roofing" and gives "keene-triplex" the keys "new"
    Then version 2 is in force
    And key "old" belongs to "dover-roofing"
    And key "new" belongs to "keene-triplex"
    When version 3 gives "dover-roofing" the keys "newer"
    Then key "newer" belongs to "dover-roofing"
