Feature: Credits
  Guards against capacity that is leased twice or is never given back.

  Scenario: Random faults never lease more than the capacity, and all of it comes back
    Then 400 random histories of credits with lost, repeated and late messages keep the rules

  Scenario: Random faults leave no reservation on any engine
    Then 150 random histories of reservations with refusals, cancellation and deaths keep the rules
