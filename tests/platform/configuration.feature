Feature: Configuration and list of targets of the platform
  Guards against misinterpreted fields, and against unreadable entries that hide the other ones.

  Scenario: A configuration is decoded into routes and services
    Given the sample configuration of the platform
    Then route "/lohu930/" is a resumable stream with 2 attempts and a limit of 10000 ms
    And it goes to "huvo11a" with weight 90 and to "wuno96b" with weight 10
    And route "/plain/" is at-most-once with 1 attempt and a limit of 1000 ms
    And the engine of "huvo11a" prefills 210000 tokens in 2.9 seconds
    And the key "n2ctnfzs989anu6wsjnb" belongs to "hule930"
    And a request body has at most 4194304 bytes and the idle timeout is 15 seconds

  Scenario: Requests are split by weight
    Given the sample configuration of the platform
    Then 1000 requests on route "/lohu930/" go to "wuno96b" 60 to 140 times
    And a request id always goes to the same service

  Scenario: A configuration that cannot be decoded is rejected
    Then the document "{" cannot be decoded
    And the document "[]" cannot be decoded

  Scenario Outline: A number that no time or speed can hold makes a configuration unreadable
    Guards against a process that ends as it reads a damaged number.
    Then a configuration whose <place> is <value> cannot be decoded

    Examples:
      | place                       | value  |
      | timeout_ms of a route       | 1e300  |
      | timeout_ms of a route       | -1e300 |
      | target_gap_ms of a route    | 1e300  |
      | read_per_s of an engine     | 0      |

  Scenario Outline: The limits of callers' connections are those of the configuration
    Given the limit "<name>" of the configuration is <value>
    Then the limit "<name>" is <value>, and nothing is logged

    Examples:
      | name              | value      |
      | header_bytes      | 1          |
      | header_bytes      | 1048576    |
      | header_timeout_ms | 1          |
      | header_timeout_ms | 300.5      |
      | header_timeout_ms | 3600000    |
      | idle_timeout_ms   | 1          |
      | idle_timeout_ms   | 3600000    |
      | body_bytes        | 0          |
      | body_bytes        | 9000000000 |

  Scenario Outline: A limit that is out of its range is replaced, and the rest stays in force
    Guards against a listener that refuses every request or bounds none, against a process that ends
    as it reads a damaged number, and against a version that is lost to one of its limits.
    Given the limit "<name>" of the configuration is <value>
    Then the limit "<name>" is <used>, and the log names it with <value>
    And route "/lohu930/" is a resumable stream with 2 attempts and a limit of 10000 ms

    Examples:
      | name              | value     | used    |
      | header_bytes      | 0         | 16384   |
      | header_bytes      | -1        | 16384   |
      | header_bytes      | 1048577   | 1048576 |
      | header_bytes      | 10000000000000000000000000 | 1048576 |
      | header_timeout_ms | 0         | 3000    |
      | header_timeout_ms | 0.9       | 3000    |
      | header_timeout_ms | -5        | 3000    |
      | header_timeout_ms | 3600001   | 3600000 |
      | header_timeout_ms | 1e300     | 3600000 |
      | idle_timeout_ms   | 0         | 15000   |
      | idle_timeout_ms   | -1e300    | 15000   |
      | idle_timeout_ms   | 1e300     | 3600000 |
      | body_bytes        | -1        | 4194304 |

  Scenario: Before the first configuration, the limits have their defaults
    Then the limits without a configuration are those of a configuration that sets none

  Scenario: Entries that cannot be decoded are skipped, and the others are kept
    Given a list of targets with valid entries "i-1 i-2" and these others:
      | key | value                                                                                       |
      | x-1 | nonsense                                                                                    |
      | x-2 | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"gone","slots":8}                 |
      | x-3 | {"service":"s","address":"nowhere","zone":"z","state":"ready","slots":8}                    |
      | x-4 | {"service":5,"address":"10.0.0.1:80","zone":"z","state":"ready","slots":8}                  |
      | x-5 | {"service":"s","zone":"z","state":"ready","slots":8}                                        |
      | x-6 | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","slots":"many"}           |
      | x-7 | {"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","slots":8,"born":"today"} |
    Then the targets are "i-1 i-2"

  Scenario Outline: An entry that lacks a field of a target, or has it with another type, names no target
    Guards against sending requests to whatever answers at the address of an incomplete entry.
    Given a list of targets with valid entries "i-1 i-2" and one whose field "<field>" is <value>
    Then the targets are "i-1 i-2"

    Examples:
      | field             | value   |
      | service           | missing |
      | address           | missing |
      | zone              | missing |
      | version           | missing |
      | version           | 7       |
      | slots             | missing |
      | slots             | "8"     |
      | slots             | 8.5     |
      | state             | missing |
      | state             | null    |
      | cold_remaining_ms | missing |
      | cold_remaining_ms | "0"     |
      | cold_remaining_ms | -1      |
      | sequence          | missing |
      | sequence          | "4"     |
      | sequence          | -1      |
      | born              | "today" |
      | born              | 1.5     |

  Scenario Outline: An odd entry of another writer names no target, and the others are followed
    Given a list of targets with valid entries "i-1 i-2" and an entry with <oddity>
    Then the targets are "i-1 i-2"
    And the list and its changes can be sent to peers

    Examples:
      | oddity                                     |
      | an unknown field that is nested very deep  |
      | a known field that is nested very deep     |
      | a number of slots that is too large        |
      | a negative number of slots                 |
      | a start time that is too large             |
      | a negative start time                      |
      | a port that is too large                   |
      | port 0                                     |
      | a port of other digits                     |
      | a host name in place of an address         |
      | a service name that is very long           |
      | a value that is no Base64                  |

  Scenario: An odd row among the registered entry instances is skipped
    Given registered entry instances "10.0.0.1:7340 nowhere 10.0.0.2:99999 :7 10.0.0.3:7340"
    Then the known entry instances are "10.0.0.1:7340 10.0.0.3:7340"

  Scenario Outline: Routes are not fetched from a malformed control address
    Guards against a datagram with such an address that ends the task which tracks the routes.
    Then fetching the routes from "<address>" fails with a reason

    Examples:
      | address          |
      | 12x7.0.0.9:9     |
      | 127.0.0.9:9:     |
      | 127.0.0.9:7.0    |
      | 127.0.0.9:99999  |
      | nowhere          |
      | [::1             |
      | 127.0.0.9:9/a?b= |

  Scenario Outline: The configuration of a peer is read with and without compression
    Guards against a large document that all instances of a zone fetch at once over the link of one;
    builds that cannot compress it still exchange it.
    Given a peer that sends the configuration <form>
    Then fetching the routes from it gives <result>

    Examples:
      | form                               | result                                     |
      | as this build encodes it           | the configuration, in fewer bytes          |
      | to an instance of an older build   | the configuration                          |
      | without compression                | the configuration                          |
      | compressed, with a byte changed    | the reason "decompressed"                  |
      | compressed, without its end        | the reason "incomplete"                    |
      | compressed, and larger than 16 MiB | the reason "too large"                     |
      | in an unknown encoding             | the reason "encoding"                      |

  Scenario: A document is compressed once for all peers
    Guards against the processor time of a compression for each of the instances of a zone.
    Given a configuration that 33 peers fetch
    Then all of them get the same compressed bytes
    And they get other ones after a change

  Scenario: Only the routes that have changed are decoded again
    Guards against the processor time of 1,400 routes at each instance for each version.
    Given a configuration of 1400 routes that has been decoded
    When a version with one of them changed, one removed and one added is decoded
    Then the table has 1400 routes, and all but 2 of them are those of the version before
    And it equals the table of an instance that decodes only the second version
    And a version that cannot be decoded after it changes nothing for the next one

  Scenario: A change between two parts of the list is not missed
    Guards against going on from the revision of the last part, so that a change of an earlier one is lost.
    Given a list of 1200 targets of which an entry of each earlier part is removed before the next is read
    Then following the changes of the list leads to the list of the store

  Scenario: A target whose entry is draining counts as leaving
    Given a list of targets with valid entries "i-1 i-2" of which "i-2" is draining
    Then "i-2" is leaving and "i-1" is not

  Scenario: The rows of evacuations are read beside the configuration
    Guards against rows of others in the table that hide an evacuation, and against a key that names
    no zone.
    Given a store with the rows "config config/2 drain/b evacuate/ evacuate/a evacuate/b evacuate0 op"
    Then the first read has the routes and the evacuations of "a b"
    And a poll that returns "evacuate/c", and "evacuate/a" as removed, has the evacuations of "b c"
    And a configuration that cannot be decoded leaves the evacuations "a b"

  Scenario: The priority of an organisation takes precedence over that of its route
    Guards against an order of requests that ignores the priority of an organisation.
    Given routes for an organisation of priority 2 and one without a priority
    Then on a route of priority 1 their requests have the priorities 2 and 1
    And 2 organisations are configured
