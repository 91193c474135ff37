Feature: What operators and the platform write
  Guards against fields that are taken for something else, and against entries of other writers.

  Scenario: A configuration is decoded into routes and services
    Given the configuration of the platform's pages
    Then route "/lohu930/" is a resumable stream with 2 attempts and a limit of 10000 ms
    And it goes to "huvo11a" with weight 90 and to "wuno96b" with weight 10
    And route "/plain/" is at-most-once with 1 attempt and a limit of 1000 ms
    And the engine of "huvo11a" reads 210000 tokens in 2.9 seconds
    And the key "n2ctnfzs989anu6wsjnb" is that of "hule930"
    And a request waits at most 4194304 bytes and 15 seconds idle

  Scenario: Requests are split by weight
    Given the configuration of the platform's pages
    Then 1000 requests on route "/lohu930/" go to "wuno96b" 60 to 140 times
    And a request id always goes to the same service

  Scenario: A configuration that cannot be read is no configuration
    Then the document "{" cannot be decoded
    And the document "[]" cannot be decoded

  Scenario: Entries that cannot be read name no target, and the others hold
    Given a list of targets with good entries "i-1 i-2" and these others:
      | key | value                                                                                       |
      | x-1 | nonsense                                                                                    |
      | x-2 | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"gone","slots":8}                 |
      | x-3 | {"service":"s","address":"nowhere","zone":"z","state":"ready","slots":8}                    |
      | x-4 | {"service":5,"address":"10.0.0.1:80","zone":"z","state":"ready","slots":8}                  |
      | x-5 | {"service":"s","zone":"z","state":"ready","slots":8}                                        |
      | x-6 | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","slots":"many"}           |
      | x-7 | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","slots":8,"born":"today"} |
    Then the targets are "i-1 i-2"

  Scenario: A target is leaving when its entry says that it drains
    Given a list of targets with good entries "i-1 i-2" of which "i-2" drains
    Then "i-2" is leaving and "i-1" is not
