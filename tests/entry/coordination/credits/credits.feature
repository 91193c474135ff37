Feature: Credits
  Guards against capacity that is leased twice or is never given back.

  Scenario: Random faults never lease more than the capacity, and all of it comes back
    Then 300 random histories of credits with lost, repeated and late messages keep the rules
