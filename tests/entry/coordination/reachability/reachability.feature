Feature: Finding out that no target is reached
  Guards against an instance that keeps trying targets that it cannot reach, against one that counts
  as cut off because single targets are down, and against pauses and suspicions that stem from a cut.

  Scenario Outline: The instance counts as cut off after several targets failed and none accepted
    Given an instance with <listed> listed targets
    When connections to the targets <events> fail or are accepted
    Then it <state>

    Examples: A number is a target that fails, one with a plus accepts a connection
      | listed | events        | state              |
      | 9      | 1 2 3         | counts as cut off  |
      | 9      | 1 2           | reaches targets    |
      | 9      | 1 1 1 1       | reaches targets    |
      | 9      | 1 2 +4 3 5    | reaches targets    |
      | 9      | 1 2 +4 3 5 1  | counts as cut off  |
      | 9      | 1 2 3 +4      | reaches targets    |
      | 2      | 0 1           | counts as cut off  |
      | 9      | 1 2 20        | reaches targets    |

  Scenario: Failures that are seconds apart are no evidence
    Given an instance with 9 listed targets
    When connections to the targets 1 2 fail or are accepted
    And 4 seconds go by
    And connections to the targets 3 4 fail or are accepted
    Then it reaches targets

  Scenario: Others are told at once when the state begins and when it ends
    Given an instance with 9 listed targets
    When connections to the targets 1 2 3 4 +5 6 fail or are accepted
    Then the state has begun 1 time and ended 1 time

  Scenario: One failed connection is enough to find out about a cut
    Given an instance with 9 listed targets, none of which accepts connections
    When a connection to target 1 fails and 1 second passes
    Then it counts as cut off

  Scenario: A target that is down alone does not make the instance count as cut off
    Given an instance with 9 listed targets, of which only target 1 is down
    When a connection to target 1 fails and 1 second passes
    Then it reaches targets
    And at most 2 other targets were probed

  Scenario: Probes find out that the cut has ended
    Given an instance with 9 listed targets, none of which accepts connections
    When a connection to target 1 fails and 1 second passes
    And the targets accept connections again and 1 second passes
    Then it reaches targets

  Scenario: A cut costs one probe in half a second
    Given an instance with 9 listed targets, none of which accepts connections
    When a connection to target 1 fails and 10 seconds pass
    Then it counts as cut off
    And at most 24 other targets were probed

  Scenario Outline: A crash counts only if another target is reachable
    Given an instance with 9 listed targets, of which <down> are down
    Then a crash of target 1 <counts>

    Examples:
      | down | counts         |
      | 1    | counts         |
      | 3    | counts         |
      | 9    | does not count |

  Scenario Outline: Requests go to a peer that reaches targets, near ones first
    Given these peers: <peers>
    Then peers that get requests: <chosen>

    Examples: Each peer is a number with its zone, and what it lacks
      | peers                                | chosen |
      | 1:z0 2:z1                            | 1      |
      | 1:z0:targets 2:z1                    | 2      |
      | 1:z0:leaving 2:z0                    | 2      |
      | 1:z0:serving 2:z1                    | 2      |
      | 1:z0 2:z0 3:z1                       | 1 2    |
      | 1:z0:targets 2:z1:targets            | none   |
      | 1:z0:version 2:z1                    | 2      |

    Examples: Few near peers do not get the requests of a whole zone alone
      | peers                                                        | chosen |
      | 1:z0 2:z0:targets 3:z0:targets 4:z1                          | 1      |
      | 1:z0 2:z0:targets 3:z0:targets 4:z0:targets 5:z1 6:z2        | 1 5 6  |
      | 1:z0 2:z0:leaving 3:z0:leaving 4:z0:serving 5:z0:leaving 6:z1 | 1      |

  Scenario: Pauses that stem from a cut end with it
    Given an instance with 9 listed targets
    When the targets 1 2 are lost before a cut and 3 4 in it, and the cut ends
    Then the targets 3 4 may receive requests and 1 2 are paused
