Feature: Access control and routes of the admin API
  Guards against an admin API without access control, and against routes that succeed for
  components that do not exist.

  Scenario Outline: Without a configuration, <who> gets <status>
    Given an entry instance without a configuration
    When the admin caller <host> sends "GET status" with the key "<key>"
    Then the admin API responds with <status>

    Examples:
      | who                            | host      | key       | status |
      | a loopback caller              | 127.0.0.1 | none      | 200    |
      | a remote caller                | 10.0.0.9  | none      | 401    |
      | a remote caller, other key     | 10.0.0.9  | wrong     | 401    |
      | a remote caller, bootstrap key | 10.0.0.9  | bootstrap | 200    |

  Scenario Outline: With a configuration, <who> gets <status>
    Given an entry instance with a configuration
    When the admin caller <host> sends "<request>" with the key "<key>"
    Then the admin API responds with <status>

    Examples:
      | who                    | host      | request                     | key       | status |
      | an operator            | 10.0.0.9  | GET status                  | operator  | 200    |
      | a loopback caller      | 127.0.0.1 | GET status                  | none      | 401    |
      | an organisation        | 127.0.0.1 | GET status                  | caller    | 401    |
      | the bootstrap key      | 127.0.0.1 | POST drain                  | bootstrap | 401    |
      | an organisation, apply | 127.0.0.1 | POST configuration          | caller    | 401    |
      | an unknown operation   | 10.0.0.9  | GET secrets                 | operator  | 404    |
      | an unknown target      | 10.0.0.9  | POST targets/none/drain     | operator  | 404    |
      | an unknown request     | 10.0.0.9  | GET trace/none              | operator  | 404    |
      | a missing quarantine   | 10.0.0.9  | GET quarantine              | operator  | 404    |
      | a bad limit            | 10.0.0.9  | GET configuration/history?limit=x | operator | 400 |
      | an operator, history   | 10.0.0.9  | GET configuration/history   | operator  | 200    |

  Scenario: A quarantined request is listed and released
    Given an entry instance with a configuration and a quarantine of "f1"
    When the admin caller 10.0.0.9 sends "GET quarantine" with the key "operator"
    Then the admin API responds with 200
    When the admin caller 10.0.0.9 sends "DELETE quarantine/f1" with the key "operator"
    Then the admin API responds with 200
    When the admin caller 10.0.0.9 sends "DELETE quarantine/f1" with the key "operator"
    Then the admin API responds with 404

  Scenario: A drained target is marked as leaving, so it gets no new work
    Given an entry instance with a configuration
    And the entry instance has the target "ice-advisor-1"
    When the admin caller 10.0.0.9 sends "POST targets/ice-advisor-1/drain" with the key "operator"
    Then the admin API responds with 202
    And the target "ice-advisor-1" is leaving
