Feature: HTTP request and response
  Guards against a crash of the process: when a request was cancelled during the start of its
  response, the server sent the status and headers twice (hunt-1b31-15 of eaveline-dispatch).

  Scenario: A cancelled request does not interrupt the start of the response
    Given a server that sends slowly
    When a request is cancelled during the start of its response
    Then the server has started the response

  Scenario: A disconnect of the caller cancels the request
    Given a server that reports the caller's disconnect
    Then the request is cancelled

  Scenario: A disconnect after the end of the response cancels nothing
    Given a server that reports the caller's disconnect
    When the response is finished
    Then the request is not cancelled
