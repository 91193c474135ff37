Feature: Refusals of peers that run requests for an instance without targets
  Guards against arrivals at targets beyond the retry budget: a peer takes nothing from it for the first
  target that it tries, so that the next peer is a retry if a target got the request.

  Scenario Outline: A relayed request that is refused goes to a further peer
    Given an instance that reaches no target, with <sender budget>
    And 2 peers, whose <refusal>, with <peer budget>
    When a <kind> is sent to the instance
    Then <peers> peers were asked, and <arrivals> targets got the request
    And the caller is told that it has not run

    Examples:
      | kind    | sender budget   | peer budget     | refusal               | peers | arrivals |
      | booking | no retry budget | no retry budget | targets refuse        | 1     | 1        |
      | lookup  | no retry budget | no retry budget | targets refuse        | 1     | 1        |
      | booking | no retry budget | a retry budget  | targets refuse        | 1     | 6        |
      | booking | a retry budget  | no retry budget | targets refuse        | 2     | 2        |
      | booking | no retry budget | no retry budget | targets are not there | 2     | 0        |

  Scenario: A peer is told which routes accepted the request
    Given an instance that reaches no target, with no retry budget
    And 2 peers, whose targets are not there, with no retry budget
    When a booking is sent to the instance
    Then each peer was told the version of the routes that accepted the request
