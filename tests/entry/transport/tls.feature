Feature: TLS of an entry instance
  Guards against plaintext where TLS is configured, peers without a valid certificate, certificates
  that are only reloaded by a restart, and damaged certificate files that break a listener.

  Scenario: Callers, operators, peers and targets use TLS, and a certificate is replaced
    Given an entry instance with TLS for callers, peers and targets
    Then the operators' command works only with the CA of the entry instance
    And a booking with TLS reaches a target with TLS
    And a caller without TLS gets no response
    And the peer listener accepts only clients with a certificate of the CA
    When the certificate of the caller listener is replaced
    Then new connections get the new certificate
    When the certificate file of the caller listener is damaged
    Then the log has event 106 of the damaged file
    And new connections get the new certificate

  Scenario: A certificate that does not match its key is reported at startup
    When the entry instance is started with a certificate of another key
    Then the entry command reports the flag "--tls-certificate"

  Scenario: Entry instances with mutual TLS reach each other and share a configuration
    Given two entry instances with mutual TLS between them
    When the example is applied at the first while the other cannot reach the table service
    Then both report each other as alive and have the same active configuration
