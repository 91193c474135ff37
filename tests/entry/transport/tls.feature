Feature: TLS of an entry instance
  Guards against readable traffic where TLS is set, peers without a certificate, and certificates
  that need a restart or break a listener.

  Scenario: Callers, operators, peers and targets use TLS, and a certificate is replaced
    Given an entry instance with TLS for callers, peers and targets
    Then the operators' command works with the issuer and not without it
    And a booking with TLS reaches a target with TLS
    And a caller without TLS gets no answer
    And the peer listener takes a client with a certificate of the issuer and no other
    When the certificate of the callers' listener is replaced
    Then new connections get the new certificate
    When the certificate file of the callers' listener is damaged
    Then the log has event 106 of the damaged file
    And new connections get the new certificate

  Scenario: A certificate that does not fit its key is a finding at the start
    When the entry instance is started with a certificate of another key
    Then the entry command names the flag "--tls-certificate"

  Scenario: Entry instances with mutual TLS hear each other and share a configuration
    Given two entry instances with mutual TLS between them
    When the example is applied through the first while the other cannot read the table service
    Then both know each other as alive and have the same configuration in force
