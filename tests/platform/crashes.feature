Feature: Requests and prompt parts that crash engines, with real processes
  Guards against sending what crashes engines to one engine after the other, and against refusing
  sound requests with it.

  Scenario Outline: A request that crashes engines is quarantined
    When a request that crashes engines <moment>, which <end> their connections, is sent 6 times
    Then the request crashed at most 3 engines

    Examples:
      | moment         | end   |
      | on arrival     | reset |
      | on arrival     | close |
      | after the head | reset |
      | after the head | close |

  Scenario: Different requests that share a crashing prompt part are refused, others are not
    When 12 requests with a prompt part that crashes engines are sent, and then 12 others
    Then the requests with that part crashed at most 6 engines
    And the other requests were answered

  Scenario: An operator releases a refused request with the command
    When a request that crashes engines is refused, and the engines are repaired
    Then `wasabiwell quarantine list` lists one quarantined request
    And after `wasabiwell quarantine release` it is answered
