Feature: Target discovery
  Guards against sending requests to targets that are leaving, and against dropping the whole fleet
  after an outage of the store.

  Scenario: An instance that does not read the store gets changes from a watcher
    Given a store that lists "a b c"
    And a watcher and another instance that receives its notices
    When the store lists "a b~ d" a little later
    Then the other instance has the targets "a b~ d" within 100 ms
    And the store was queried at most twice since the change

  Scenario: An instance without notices from a watcher reads the store itself
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the watcher stops and the store lists "a"
    Then the other instance has the targets "a" within 2500 ms

  Scenario Outline: A departure is known in time although no poll gets a response
    Guards against long polls as the only proof that a connection to the store lives: reads on new
    connections work, and all bounds hold again 3 s after connections have failed.
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When polls get no response from now on, and the store lists "a b~"
    Then <instance> has the targets "a b~" within 3000 ms

    Examples:
      | instance           |
      | the watcher        |
      | the other instance |

  Scenario Outline: A departure is known in time although the first new connection fails, too
    Guards against a pause after one failed read, or a long wait for it, when a silent poll has used
    most of the 3 s after which all bounds hold again.
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When a poll that has just begun and later ones get no response, the next read <fault>, others take <delay> ms, and the store lists "a b~"
    Then <instance> has the targets "a b~" within 3000 ms

    Examples:
      | instance           | fault            | delay |
      | the watcher        | is refused       | 300   |
      | the watcher        | cannot connect   | 300   |
      | the watcher        | gets no response | 300   |
      | the other instance | cannot connect   | 300   |
      | the other instance | gets no response | 300   |

  Scenario Outline: A watcher does not ask a store that is away in quick succession
    Guards against more reads without a pause than the 2 that follow a silent poll; all others come
    0.7 s after a read that failed at once, after 0.5 s or after 1.5 s.
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When each read <fault> for 30 seconds
    Then the watcher has read the store at most <reads> times

    Examples:
      | fault            | reads |
      | is refused       | 44    |
      | cannot connect   | 27    |
      | gets no response | 15    |

  Scenario: A target that is missing after an outage is kept until it had time to register again
    Given a store that lists "a b c"
    And a watcher and another instance that receives its notices
    When the store is unavailable for 6 seconds and then lists "a"
    Then the watcher has the targets "a b c" within 1600 ms
    And the watcher has the targets "a" within 5000 ms

  Scenario: A target that was removed before an outage is not restored
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a" a little later
    And the store is unavailable for 6 seconds and then lists "a"
    Then the watcher has the targets "a" within 5000 ms

  Scenario: The whole list is read again when the store has lost its change history
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store loses its change history and lists "b c"
    Then the watcher has the targets "b c" within 500 ms

  Scenario: An instance that is told of the list after an outage keeps missing targets for as long
    Guards against dropping the whole fleet, and against keeping a target that never registers again.
    Given a store that lists "a b c"
    And a watcher and another instance that receives its notices
    When the store is unavailable for 6 seconds and then lists "a"
    Then the other instance has the targets "a b c" within 1600 ms
    And the other instance has the targets "a" within 5000 ms

  Scenario: Targets that are kept after an outage are dropped although the watcher has ended
    Given a store that lists "a b c"
    And a watcher and another instance that receives its notices
    When the store is unavailable for 6 seconds and then lists "a"
    And the watcher ends 1 second later
    Then the other instance has the targets "a" within 2000 ms

  Scenario: An instance that was late itself does not make the others keep a target that has left
    Guards against taking a late read for an outage of the store, and telling the others of it.
    Given a store that lists "a b c"
    And a watcher and another instance that receives its notices
    When the store lists "a b" a little later
    And the watcher is told to keep "c" after an outage that only it has seen
    Then the other instance has the targets "a b" within 0 ms
    And the other instance keeps them for 3 seconds

  Scenario Outline: A departure is known in time although the watchers and many others have ended
    Guards against waiting for instances that have ended, and taking that for an outage of the store.
    Given a store that lists "a b c"
    When the first <ended> of <count> instances end, and the store lists "a b" after <delay> ms
    Then the other instances have the targets "a b" within 2000 ms of that
    And the store was read at most <reads> times in 4 seconds

    Examples:
      | ended | count | delay | reads |
      | 21    | 24    | 0     | 30    |
      | 21    | 24    | 200   | 30    |
      | 21    | 24    | 1000  | 30    |
      | 21    | 24    | 2500  | 30    |
      | 3     | 24    | 200   | 60    |
      | 9     | 18    | 0     | 40    |
      | 190   | 195   | 200   | 40    |
      | 3     | 195   | 200   | 200   |
      | 117   | 195   | 0     | 160   |

  Scenario: An outdated notice does not restore removed targets
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a" a little later
    And an outdated notice arrives late
    Then the other instance has the targets "a" within 100 ms

  Scenario: A notice with another base makes the instance read the list
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When a notice is lost while the store lists "a c" and then "a c d"
    Then the other instance has the targets "a c d" within 500 ms

  Scenario: An instance that receives notices does not wake up to check whether it should read
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    Then the other instance woke up at most 14 times in 10 seconds

  Scenario: A notice of changes that are known in part is applied without a read
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When another watcher reports "a b c" before the store lists "a b c d" in one change
    Then the other instance has the targets "a b c d" within 100 ms
    And the other instance has not read the store

  Scenario: An instance that is not a watcher asks an unavailable store less often
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store is unavailable for 30 seconds for a fleet of 200
    Then the other instance has read the store at most 3 times

  Scenario: Instances that start together read the list a few times, and do not tell each other
    Given a store that lists "a b c"
    When 40 instances start together, which learn of each other within 1 second
    Then all of them have the targets "a b c"
    And the store was read at most 60 times, and at most 3 instances told the others of a list
    And the watchers then read it at most 30 times in 10 seconds

  Scenario: Many notices with another base lead to one read
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When 20 notices of unknown bases arrive within 100 ms
    Then the other instance has the targets "a b" within 500 ms
    And the other instance has read the store at most 1 times since then

  Scenario: An instance that has missed changes asks an unavailable store often
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store is unavailable for 10 seconds for a fleet of 200, and a notice cannot be applied
    Then the other instance has read the store at least 8 times

  Scenario Outline: A list of a later era is in force although its revision is lower
    Guards against a list that stands still until the store, back from a copy, has made as many changes
    as before.
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a b c" a little later
    And the store lists "a b d" a little later
    And the store returns from a copy of revision 1 that lists "a b"
    And 3 seconds pass for the list
    And the store lists "a~ b e" a little later
    Then <instance> has the targets "a~ b e" within 100 ms

    Examples:
      | instance           |
      | the watcher        |
      | the other instance |

  Scenario: The store returns from copies twice in a row
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a b c" a little later
    And the store returns from a copy of revision 2 that lists "a b"
    And the store returns from a copy of revision 1 that lists "a b"
    And 3 seconds pass for the list
    And the store lists "a d" a little later
    Then the other instance has the targets "a d" within 100 ms

  Scenario: A process that had left gets no work because the copy lists it
    Guards against requests to a target that this instance has already seen leave.
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a" a little later
    And the store returns from a copy of revision 1 that lists "a b"
    Then the other instance has the targets "a" for 20 seconds

  Scenario: A process that had left is used again once its entry is written again
    Guards against holding back a living target, whose entry had expired, for longer than necessary.
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a" a little later
    And the store returns from a copy of revision 1 that lists "a b"
    And the entry of "b" is written again without a change
    Then the other instance has the targets "a b" within 100 ms

  Scenario: A process that had left is used again if the platform keeps its entry
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a" a little later
    And the store returns from a copy of revision 1 that lists "a b"
    And 29 seconds pass for the list
    Then the other instance has the targets "a b" within 1500 ms

  Scenario Outline: A target that the copy lacks is kept until it had time to register again
    Guards against dropping targets that joined shortly before the copy was put back.
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a b c" a little later
    And the store returns from a copy of revision 1 that lists "a b"
    And <seconds> seconds pass for the list
    And the store lists "<names>" a little later
    Then the other instance has the targets "<expected>" within 0 ms

    Examples:
      | seconds | names | expected |
      | 2       | a b   | a b c    |
      | 2       | a b c | a b c    |
      | 3       | a b   | a b      |

  Scenario: A target that leaves right after the return is not kept
    Guards against taking a removal of the new era for something that the copy lacks.
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a b c" a little later
    And the store returns from a copy of revision 1 that lists "a b"
    And the store lists "a" a little later
    Then the other instance has the targets "a c" within 100 ms

  Scenario: A peer in an older era cannot put its list into force
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store returns from a copy of revision 1 that lists "a b"
    And a peer in era 0 reports "a b c" at revision 90
    Then the other instance has the targets "a b" for 3 seconds

  Scenario: A late answer of an older era does not change the list
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store returns from a copy of revision 1 that lists "a b"
    And a poll of era 0 is answered late with "a b c" at revision 90
    Then the watcher has the targets "a b" for 3 seconds

  Scenario: An instance that missed the return learns of it from a peer
    Given a store that lists "a b"
    And a watcher and another instance that receives its notices
    When the store lists "a b c" a little later
    And a peer in era 4 reports "a d" at revision 1
    Then the other instance has the targets "a b c d" within 0 ms
