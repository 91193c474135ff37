Feature: Monitors of instances in a large fleet
  Guards against a number of messages that grows with the square of the fleet, and against callers
  that get the addresses of failed instances for long, or do not get those of running ones.

  Scenario Outline: Each instance has as many monitors as it monitors instances itself
    Then each of <count> instances with random addresses has <monitors> monitors, which monitor it

    Examples:
      | count | monitors |
      | 2     | 1        |
      | 5     | 4        |
      | 100   | 5        |
      | 420   | 5        |

  Scenario: Monitors get states at the short interval and all others at a long one
    When an instance receives states of 40 peers for 12 seconds
    Then 5 of them got 20 to 26 states, and the others 2 to 5

  Scenario: In a small fleet all peers get states at the short interval
    When an instance receives states of 20 peers for 12 seconds
    Then 20 of them got 20 to 26 states, and the others 0 to 0

  Scenario: A monitored instance that stops sending is reported to all, and callers no longer get its address
    When an instance receives states of 40 peers for 3 seconds, and then of all but a monitored one for 3 seconds
    Then it reported that peer as lost once, to all others, 1.7 to 2.3 seconds after its last message
    And callers do not get the address of that peer

  Scenario: An instance that is not monitored may be silent for longer
    When an instance receives states of 40 peers for 3 seconds, and then only of the monitored ones for 3 seconds
    Then it reported no peer as lost
    And callers get the addresses of 41 instances

  Scenario: A report also removes the placements of the lost instance
    Given an instance with 40 peers
    And a peer that it does not monitor has a request on engine "e00"
    When that peer was silent for 2 seconds and is reported as lost
    Then callers do not get the address of that peer
    And engine "e00" has 0 requests

  Scenario Outline: A report about a running instance is ignored
    Given an instance with 40 peers
    When that peer <runs> and is reported as lost
    Then callers get the addresses of 41 instances

    Examples:
      | runs                                             |
      | sent a message a second ago                      |
      | was silent for 2 seconds after a newer state     |

  Scenario: A lost instance is reachable again after its next message, and is sent the report
    Given an instance with 40 peers
    When that peer was silent for 2 seconds and is reported as lost
    And it sends another state
    Then callers get the addresses of 41 instances
    And that peer was sent the report about it

  Scenario: An instance that is reported as lost refutes it once with a state to all
    Given an instance with 40 peers
    When 3 peers report it as lost
    Then all peers got 1 more state

  Scenario Outline: A peer that asks for frequent states gets them for some seconds
    When an instance receives states of 40 peers for 12 seconds, and one that is not its monitor asks <times> times, 3 seconds apart, for frequent states
    Then the peer that asked got <least> to <most> states, the last of them at the long interval: <long>

    Examples:
      | times | least | most | long |
      | 1     | 10    | 16   | yes  |
      | 4     | 20    | 28   | no   |

  Scenario: A monitored instance that sends states at the long interval is asked first, and not reported
    When an instance receives states of 40 peers for 6 seconds, except for a monitored one that is silent until it is asked for frequent states, and then sends them
    Then only that peer was asked, at most 2 times
    And it reported no peer as lost

  Scenario: A monitored instance that does not respond is reported, as its monitors may have failed too
    When an instance receives states of 40 peers for 6 seconds, except for a monitored one that is silent until it is asked for frequent states, and then sends none
    Then it reported that peer as lost once, to all others, 1.7 to 2.3 seconds after its last message

  Scenario Outline: Retries are reported immediately where states are sent at a long interval
    Given an instance with <count> peers
    When it retries a request for a service
    Then <sent> peers were sent the retry

    Examples:
      | count | sent |
      | 40    | 40   |
      | 20    | 0    |

  Scenario: A reported retry is counted until the next state
    Given an instance with 40 peers
    When one of them reports 2 retries for service "s"
    Then that peer has used 2 retries of service "s"
    When its next state counts 1 retry
    Then that peer has used 1 retries of service "s"

  Scenario: A peer that knows few instances is sent all addresses by the first ones
    Given an instance with 40 peers
    When one of them reports that it knows 3 instances
    Then that peer was sent 40 addresses

  Scenario Outline: A restarted instance is sent the addresses of all others immediately
    Given an instance with 40 peers, of which <lower> have lower addresses
    When one of them has restarted and knows no peer
    Then that peer was sent <states> state and <lists> lists of addresses

    Examples: the first five by address send lists, whether known as seeds or from the store
      | lower | states | lists |
      | 0     | 1      | 1     |
      | 4     | 1      | 1     |
      | 5     | 1      | 0     |

  Scenario: A paused instance does not report peers whose messages are still unread
    Given an instance with 40 peers
    When it was paused for 5 seconds and checks for silent peers
    Then it reported no peer as lost

  Scenario Outline: A peer times out according to the interval in its states
    Given an instance with <count> peers
    When its state interval is <interval> ms, and 3 seconds pass
    Then callers get the address of that peer: <sent>

    Examples: Instances may differ on whether the fleet is large
      | count | interval | sent |
      | 20    | 500      | no   |
      | 20    | 3200     | yes  |
      | 40    | 500      | no   |
      | 40    | 4000     | yes  |
