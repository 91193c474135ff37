Feature: Membership over an unreliable network
  Guards against members that stay dead although they run, members that gossip brings back after
  their death, and owners that move without a change of members.

  Scenario: Losses, pauses, kills, restarts and clock steps
    When 12 sequences of 14 steps of the membership machine run
    Then every sequence agreed with the oracle
