Feature: Membership over an unreliable network
  Guards against running members that stay marked as dead, dead members that gossip brings back, and
  owners that move without a change of membership.

  Scenario: Message loss, pauses, kills, restarts and clock steps
    When 12 sequences of 14 steps of the membership machine run
    Then every sequence agreed with the oracle
