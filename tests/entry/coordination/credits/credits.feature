Feature: Credits
  Guards against capacity that is leased twice or never released.

  Scenario: Random faults never cause leases beyond the capacity, and all credits end
    Then 400 random credit histories with lost, repeated and late messages keep the invariants

  Scenario: Random faults leave no reservation on any engine
    Then 150 random reservation histories with refusals, cancellation and crashes keep the invariants

  Scenario: A holder stops using released credit before the owner responds
    Given a holder with a credit of 2 slots that is idle
    When the holder sends its next claim and the response is lost
    Then the holder may use 0 slots

  Scenario: Credits of two previous owners shrink to the capacity at the next claims
    Given an owner of 4 slots that recorded credits of 4 slots of each of 2 holders
    When both holders claim 4 slots again from the ready owner
    Then the owner has leased 4 slots

  Scenario: Renewals during recovery do not exceed the capacity
    Given an owner of 4 slots without recorded credits
    When 2 holders that have 4 slots each claim them from the recovering owner
    Then the owner has leased 4 slots

  Scenario: A late release does not remove a newer credit
    Given an owner of 4 slots without recorded credits
    When a holder claims 3 slots and an earlier release arrives after it
    Then the owner has leased 3 slots

  Scenario: Capacity of running requests with expired credit is not leased again
    Given an owner of 4 slots without recorded credits
    When the engine reports 3 used slots and a holder claims 4 slots
    Then the owner has leased 1 slots

  Scenario: An owner that did not reach all members waits for one lifetime
    Given a new owner and a member that does not respond
    When a holder claims 1 slot from the new owner after the collection
    Then the claim is granted only after one lifetime

  Scenario: An owner that does not respond is replaced by a share of the free capacity
    Given an engine whose owner does not respond
    When the holder keeps requesting 350 tokens
    Then it gets them only after one lifetime, and never gets 1200 tokens
