Feature: Calls to the store that are cancelled
  Guards against a connection pool that is used up by cancelled calls: every later call of the process
  would fail, and the instance would keep its routes and targets for good.

  Scenario Outline: A call succeeds after many calls were cancelled at random moments
    Given a store behind a proxy that resets, delays, silences and refuses connections
    When <callers> callers cancel <calls> calls each
    Then the next read of the store succeeds at once

    Examples:
      | callers | calls |
      | 1       | 400   |
      | 3       | 200   |
      | 24      | 200   |
