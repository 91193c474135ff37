Feature: Return of the store from a copy
  Guards against a list of targets that stands still after the store has returned from an older copy:
  its versions go back, so that new lists look like late ones. Also guards against a target that has
  left and gets work again because the copy still has it, and against reverted routes and keys.

  Scenario Outline: Departures, arrivals, routes and keys hold after the store has returned from a copy
    Given <count> entry processes
    When the store returns <returns> from a copy, with <polls>, and rows change before and after that
    Then no request starts on a target later than 2 s after it left
    And each entry process uses each target that joined, 3 s after its row was written last
    And each entry process refuses the withdrawn key and serves the new route 2 s after the change

    Examples:
      | count | returns | polls                          |
      | 3     | once    | open polls that are answered   |
      | 6     | twice   | open polls that get no answer  |
