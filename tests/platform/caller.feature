Feature: Requests of callers
  Guards against headers that reach a target though they must not, and against time that is handed
  on twice.

  Scenario: A request is forwarded with its own headers, and others are set anew
    Given a request with these headers:
      | name                          | value                     |
      | Host                          | ficu95.example:8080       |
      | Wasabiwell-Request-Id         | 9c41                      |
      | Wasabiwell-Request-Deadline   | 4000                      |
      | Authorization                 | Bearer n2ctnfzs989anu6wsjnb |
      | Wasabiwell-Tenant             | somebody                  |
      | Wasabiwell-Expected-Instance  | i-0                       |
      | Wasabiwell-Request-Urgency    | 0                         |
      | Wasabiwell-Helpers            | 10.0.0.1:80               |
      | Wasabiwell-Model              | m                         |
      | Wasabiwell-Token-Counts       | 1460,80                   |
      | Wasabiwell-Length-Hint        | 31                        |
      | Last-Event-Id                 | 12                        |
      | Connection                    | X-Hop                     |
      | X-Hop                         | 1                         |
      | X-Own                         | 2                         |
    Then the target gets the headers "Host Wasabiwell-Model Wasabiwell-Request-Id Wasabiwell-Length-Hint Wasabiwell-Token-Counts X-Own" as they came
    And the organisation is "hule930"
    And the deadline is 4000 ms after the request came
    And it has 1460 prompt tokens, 31 expected and at most 80 output tokens
    And it goes on after event 12

  Scenario Outline: Requests that cannot be served are told so
    When a request for "<path>" comes with the key "<key>" and the id "<id>"
    Then it is refused with status <status>

    Examples:
      | path      | key                  | id | status |
      | /none/x   | n2ctnfzs989anu6wsjnb | 1  | 404    |
      | /lohu930/ | unknown              | 1  | 401    |
      | /lohu930/ |                      | 1  | 401    |
      | /lohu930/ | n2ctnfzs989anu6wsjnb |    | 400    |

  Scenario: An anonymous route asks for no key
    When a request for "/open/x" comes with the key "unknown" and the id "1"
    Then it is accepted without an organisation

  Scenario Outline: Failures tell the truth about the run
    Then a <outcome> for "<reason>" is told with status <status>

    Examples:
      | outcome | reason            | status |
      | refusal | no_target         | 503    |
      | refusal | deadline_exceeded | 503    |
      | refusal | quarantined       | 503    |
      | refusal | body_timeout      | 408    |
      | failure | target_failed     | 502    |
      | failure | deadline_exceeded | 504    |

  Scenario: A refusal tells when to come back
    Then a refusal that is over in 300 ms tells to come back after 0.300 seconds
