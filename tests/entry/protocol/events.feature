Feature: Events of streams
  Guards against parts of events that reach a caller when a stream breaks off.

  Scenario Outline: Only whole events are passed on, however the bytes are cut
    When the stream "id: 1|data: a||id: 2|data: b||: note||id: 3|data: c" is read in pieces of <size> bytes
    Then the events are "1 2 -"
    And the rest is "id: 3|data: c"

    Examples:
      | size |
      | 1    |
      | 5    |
      | 100  |

  Scenario: An id that is no number is not taken for an event of the target
    When the stream "id: x|data: a||" is read in pieces of 4 bytes
    Then it cannot be read
