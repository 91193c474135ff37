Feature: One HTTP request and its answer
  Guards against a process that ends because a request was cancelled while its answer began, as
  the server then sent a second head (hunt-1b31-15 of eaveline-dispatch).

  Scenario: The head of an answer is sent as a whole or not at all
    Given a server that takes a while to send
    When a request is cancelled while the head of its answer is sent
    Then the server knows that the answer has begun

  Scenario: A caller who leaves cancels the request
    Given a server that reports the caller's disconnect
    Then the request is cancelled

  Scenario: The end of a finished answer is no disconnect of the caller
    Given a server that reports the caller's disconnect
    When the answer is finished
    Then the request is not cancelled
