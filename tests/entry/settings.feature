Feature: Settings of an entry instance
  Guards against invalid settings that fail only after the start, and against errors that are reported
  one at a time.

  Scenario: All errors are reported together
    When the entry instance is started with "--max-body-bytes many --caller-address localhost:80 --tls-key /no/such/file --address-ttl-s -1 --otlp-sample-ratio 2 --table-url ftp://10.0.0.1 --bootstrap-key-hash secret"
    Then the entry command ends with code 2 and names
      """
      --address-ttl-s
      --bootstrap-key-hash
      --caller-address
      --instance-url
      --max-body-bytes
      --node-id
      --object-url
      --otlp-sample-ratio
      --peer-address
      --region
      --table-url
      --tls-certificate
      --tls-key
      --zone
      """

  Scenario: Settings are also read from the environment
    When the entry instance is started with the variable "WASABIWELL_BODY_TIMEOUT_S" as "nan"
    Then the entry command names "--body-timeout-s: must be above 0"

  Scenario: Help shows the variable, unit and default of every numeric option
    When the entry instance is started with "--help"
    Then each line of help for a number has a unit and a default

  Scenario: The version is printed on request
    When the entry instance is started with "--version"
    Then the entry command prints "wasabiwell-entry, version 0.1.0"
