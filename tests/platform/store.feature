Feature: Eras in the answers of the store
  Guards against comparing revisions from before and after the store has returned from a copy: their
  numbers are given out again.

  Scenario Outline: The era of an answer is decoded
    Given a store that answers with the header "<header>"
    When its rows are read
    Then the read <result>

    Examples:
      | header                          | result         |
      | Store-Era: 3                    | is of era 3    |
      | store-era: 3                    | is of era 3    |
      | X-Other: 3                      | is of era 0    |
      | Store-Era: three                | is unavailable |
      | Store-Era: -1                   | is unavailable |
      | Store-Era: 1; Store-Era: 2      | is unavailable |
      | Store-Era: 1234567890123456789  | is unavailable |

  Scenario: Changes after a revision of an older era are not all that is new
    Guards against an instance that was paused over a return, and then reads only a part of the changes.
    Given a store with 5 changes that returns from a copy of 2 and has 4 others
    When its changes are read after the revision of before
    Then the whole table has to be read again

  Scenario: A table is read again if the store returns from a copy between two parts of it
    Given a store that returns from a copy while the parts of its table are read
    When its table is read
    Then the rows are those of the later era
