Feature: Answers of targets, as callers get them
  Every answer goes over a connection, through the client for targets and the forwarder, to what the
  caller is sent.

  Scenario Outline: An answer that is cut at any byte is never passed on as whole
    Guards against a success that is framed as whole with an empty or short body, a booking that runs
    twice or is reported as not run, and a broken stream that looks complete.
    Given a whole answer <framing> to a <request>
    When it is cut at each byte, and the connection <ends>
    Then no caller got a part of an answer as a whole one
    And <consequence>

    Examples: Bookings
      | framing          | request | ends   | consequence                                      |
      | with a length    | booking | closes | each ran once, and is not reported as not run    |
      | with a length    | booking | resets | each ran once, and is not reported as not run    |
      | in chunks        | booking | closes | each ran once, and is not reported as not run    |
      | in chunks        | booking | resets | each ran once, and is not reported as not run    |
      | without a length | booking | closes | each ran once, and is not reported as not run    |
      | without a length | booking | resets | each ran once, and is not reported as not run    |

    Examples: Idempotent requests, whose second target answers in full
      | framing          | request            | ends   | consequence                          |
      | with a length    | idempotent request | closes | each got a whole answer in the end   |
      | with a length    | idempotent request | resets | each got a whole answer in the end   |
      | in chunks        | idempotent request | closes | each got a whole answer in the end   |
      | in chunks        | idempotent request | resets | each got a whole answer in the end   |
      | without a length | idempotent request | resets | each got a whole answer in the end   |

    Examples: Streams
      | framing          | request          | ends   | consequence                                   |
      | with a length    | single stream    | closes | each ran once, and is not reported as not run |
      | with a length    | single stream    | resets | each ran once, and is not reported as not run |
      | in chunks        | single stream    | closes | each ran once, and is not reported as not run |
      | in chunks        | single stream    | resets | each ran once, and is not reported as not run |
      | without a length | single stream    | closes | each ran once, and is not reported as not run |
      | without a length | single stream    | resets | each ran once, and is not reported as not run |
      | with a length    | resumable stream | closes | each got a whole answer in the end            |
      | in chunks        | resumable stream | closes | each got a whole answer in the end            |
      | in chunks        | resumable stream | resets | each got a whole answer in the end            |
      | without a length | resumable stream | resets | each got a whole answer in the end            |

  Scenario Outline: A broken stream ends as broken when no target continues it
    Guards against bytes of another answer within a stream, and against a stream that looks complete.
    Given a resumable stream that breaks off after event 2 of 3
    When each further target answers with <answer>
    Then the caller has received events 1 to 2 and no end of the stream

    Examples: Errors and refusals
      | answer                                     |
      | a signed 400                               |
      | an unsigned 404                            |
      | a signed 404                               |
      | a signed 409                               |
      | a signed 429                               |
      | a signed 500                               |
      | an unsigned 500                            |
      | a signed 503                               |
      | a signed 504                               |
      | a signed 301                               |
      | a refusal                                  |
      | a refusal of another instance              |
      | nothing                                    |

    Examples: Answers that fail after their head
      | answer                                     |
      | a head without its end                     |
      | a stream without events that breaks off    |
      | an error text after the head of a stream   |
      | a whole error after the head of a stream   |
      | a second head before event 3               |
      | a signed 500 that breaks off               |

    Examples: Successes that are no continuation
      | answer                                     |
      | a stream whose length is too large         |
      | a stream whose length is too small         |
      | a stream with a content encoding           |
      | a stream without a signature               |
      | a stream of another request                |
      | a stream from event 1 on                   |
      | a stream from event 4 on                   |
      | a stream whose first event has no id       |
      | a JSON document                            |
      | a JSON document with empty lines           |
      | a text of empty lines                      |
      | an empty JSON document                     |
      | a success without a body                   |
      | a 204                                      |

  Scenario Outline: An answer that contradicts itself is not passed on as a success
    Guards against a success that is framed as whole although its target has announced another one.
    Given an answering target that answers <answer>
    When a <request> is sent to the answering target
    Then the caller has received no whole success
    And <consequence>

    Examples: Bookings
      | answer                                   | request | consequence                                   |
      | with two lengths                         | booking | each ran once, and is not reported as not run |
      | with a list of two lengths               | booking | each ran once, and is not reported as not run |
      | with a negative length                   | booking | each ran once, and is not reported as not run |
      | with a length that is no number          | booking | each ran once, and is not reported as not run |
      | with a length and no body                | booking | each ran once, and is not reported as not run |
      | with a larger length beside whole chunks | booking | each ran once, and is not reported as not run |
      | with a length beside an unchunked body   | booking | each ran once, and is not reported as not run |
      | with a chunk size that is cut            | booking | each ran once, and is not reported as not run |
      | with a chunk size that is no number      | booking | each ran once, and is not reported as not run |
      | with a chunk size without end            | booking | each ran once, and is not reported as not run |
      | with an unknown transfer encoding        | booking | each ran once, and is not reported as not run |
      | with a head of 1 MiB                     | booking | each ran once, and is not reported as not run |
      | with a head line without a name          | booking | each ran once, and is not reported as not run |
      | with an interim response only            | booking | each ran once, and is not reported as not run |
      | with a switch of protocols               | booking | each ran once, and is not reported as not run |
      | with no status                           | booking | each ran once, and is not reported as not run |

    Examples: Streams
      | answer                                   | request       | consequence                                   |
      | with two lengths                         | single stream | each ran once, and is not reported as not run |
      | with a length and no body                | single stream | each ran once, and is not reported as not run |
      | with a larger length beside whole chunks | single stream | each ran once, and is not reported as not run |
      | with a chunk size that is cut            | single stream | each ran once, and is not reported as not run |
      | with an interim response only            | single stream | each ran once, and is not reported as not run |
      | with a switch of protocols               | single stream | each ran once, and is not reported as not run |

  Scenario Outline: A second copy of an answer does not become the answer to another request
    Guards against a caller that gets the answer to somebody else's request.
    Given an answering target that sends its first answer <copy>
    When two POST calls, <request>s, are sent to it one after the other
    Then the first caller has received <first>
    And the second caller has received <second>

    Examples:
      | copy                                  | request            | first                               | second                                 |
      | twice at once                         | booking            | status 200 and the body body of r1  | its own answer                         |
      | twice, the second time late           | booking            | status 200 and the body body of r1  | its own answer                         |
      | again on the next connection          | booking            | status 200 and the body body of r1  | nothing, as its booking may have run   |
      | again on the next connection          | idempotent request | status 200 and the body body of r1  | its own answer                         |
      | again behind the next answer          | booking            | status 200 and the body body of r1  | its own answer                         |
      | twice after an interim response       | booking            | status 200 and the body body of r1  | its own answer                         |
      | after the answer with no content      | booking            | status 204 and the body of no bytes | its own answer                         |
      | late after the answer with no content | booking            | status 204 and the body of no bytes | its own answer                         |
      | after an empty body with a length     | booking            | status 200 and the body of no bytes | its own answer                         |
      | between the head and its chunks       | booking            | no whole success                    | its own answer                         |
      | between the head and its events       | single stream      | no whole success                    | its own events                         |

  Scenario: A second copy of the answer to a request without a body in its answer is not taken for the next answer
    Given an answering target that sends its first answer after a head without a body
    When two HEAD calls, idempotent requests, are sent to it one after the other
    Then the first caller has received status 200 and the body of no bytes
    And the second caller has received its own head

  Scenario Outline: A part of an answer whose connection is reset during the upload is not a whole answer
    Guards against a part of an answer without a length that ends as a whole one: the write reports the
    reset, and the read after it an end in order.
    Given a target that answers early without a length, and then, <pause> ms later, does <end>
    When a <request> with an upload is sent to it, and another target answers in full
    Then the caller has received no whole success
    And each ran once, and is not reported as not run

    Examples:
      | request       | pause | end               |
      | booking       | 0     | reset             |
      | booking       | 20    | reset             |
      | booking       | 300   | reset             |
      | booking       | 1200  | reset             |
      | booking       | 0     | close             |
      | booking       | 20    | close             |
      | booking       | 0     | end and reset     |
      | booking       | 20    | end and reset     |
      | booking       | 0     | read on and reset |
      | booking       | 20    | read on and reset |
      | single stream | 0     | reset             |
      | single stream | 20    | reset             |
      | single stream | 300   | reset             |
      | single stream | 0     | close             |
      | single stream | 0     | end and reset     |
      | single stream | 20    | read on and reset |

  Scenario Outline: A request whose answer is cut by a reset during its upload gets the answer of another target
    Given a target that answers early without a length, and then, <pause> ms later, does <end>
    When a <request> with an upload is sent to it, and another target answers in full
    Then the caller has received the whole answer of 2 targets

    Examples:
      | request            | pause | end               |
      | idempotent request | 0     | reset             |
      | idempotent request | 20    | reset             |
      | idempotent request | 300   | reset             |
      | idempotent request | 0     | close             |
      | idempotent request | 20    | end and reset     |
      | idempotent request | 20    | read on and reset |
      | resumable stream   | 0     | reset             |
      | resumable stream   | 20    | reset             |
      | resumable stream   | 300   | reset             |
      | resumable stream   | 0     | close             |
      | resumable stream   | 20    | end and reset     |
      | resumable stream   | 20    | read on and reset |

  Scenario Outline: An early answer that announces its end is whole, however the upload ends
    Guards against a loss of early failures and successes, which are whole without the rest of the upload.
    Given a target that answers early <framing>, and then, <pause> ms later, does <end>
    When a <request> with an upload is sent to it, and another target answers in full
    Then the caller has received the whole answer of 1 target

    Examples:
      | framing       | request       | pause | end     |
      | with a length | booking       | 0     | reset   |
      | with a length | booking       | 20    | reset   |
      | with a length | booking       | 20    | close   |
      | with a length | booking       | 20    | read on |
      | in chunks     | booking       | 20    | reset   |
      | in chunks     | booking       | 20    | read on |
      | with a length | single stream | 20    | reset   |
      | in chunks     | single stream | 20    | close   |

  Scenario Outline: An early refusal is read, however the upload ends
    Given a target that refuses a request early, and then, 20 ms later, does <end>
    When a booking with an upload is sent to it, and another target answers in full
    Then the caller has received the whole answer of 2 targets

    Examples:
      | end     |
      | reset   |
      | close   |
      | read on |

  Scenario Outline: A target that answers before it has read the upload gets the rest of it, and no other bytes
    Given a target that answers early <framing>, and then, 300 ms later, does <end>
    When a booking with an upload is sent to it, and another target answers in full
    Then the caller has received <result>
    And the target has received the upload and nothing else

    Examples:
      | framing          | end             | result                                    |
      | with a length    | read on         | the whole answer of 1 target              |
      | in chunks        | read on         | the whole answer of 1 target              |
      | without a length | end and read on | what the target sent as its whole answer  |

  Scenario Outline: An answer whose status is none may have run, and is not passed on
    Guards against a status outside of 100 to 599, or an interim one, that callers take for neither a
    success nor a failure.
    Given a target that answers with status <status>, <signed>
    When a <request> is sent to it, and another target answers in full
    Then the caller has received no whole success
    And each ran once, and is not reported as not run

    Examples:
      | status | signed | request |
      | 000 | signed   | booking            |
      | 000 | unsigned | booking            |
      | 099 | signed   | booking            |
      | 099 | unsigned | booking            |
      | 101 | signed   | booking            |
      | 101 | unsigned | booking            |
      | 199 | signed   | booking            |
      | 199 | unsigned | booking            |
      | 600 | signed   | booking            |
      | 600 | unsigned | booking            |
      | 700 | signed   | booking            |
      | 700 | unsigned | booking            |
      | 999 | signed   | booking            |
      | 999 | unsigned | booking            |
      | 000 | signed   | single stream      |
      | 000 | unsigned | single stream      |
      | 099 | signed   | single stream      |
      | 099 | unsigned | single stream      |
      | 101 | signed   | single stream      |
      | 101 | unsigned | single stream      |
      | 199 | signed   | single stream      |
      | 199 | unsigned | single stream      |
      | 600 | signed   | single stream      |
      | 600 | unsigned | single stream      |
      | 700 | signed   | single stream      |
      | 700 | unsigned | single stream      |
      | 999 | signed   | single stream      |
      | 999 | unsigned | single stream      |

  Scenario Outline: A request that may run again gets another answer in place of one whose status is none
    Given a target that answers with status <status>, <signed>
    When a <request> is sent to it, and another target answers in full
    Then the caller has received the whole answer of 2 targets

    Examples:
      | status | signed | request |
      | 000 | signed   | idempotent request |
      | 000 | unsigned | idempotent request |
      | 101 | signed   | idempotent request |
      | 101 | unsigned | idempotent request |
      | 199 | signed   | idempotent request |
      | 199 | unsigned | idempotent request |
      | 600 | signed   | idempotent request |
      | 600 | unsigned | idempotent request |
      | 700 | signed   | idempotent request |
      | 700 | unsigned | idempotent request |
      | 999 | signed   | idempotent request |
      | 999 | unsigned | idempotent request |
      | 000 | signed   | resumable stream   |
      | 000 | unsigned | resumable stream   |
      | 101 | signed   | resumable stream   |
      | 101 | unsigned | resumable stream   |
      | 199 | signed   | resumable stream   |
      | 199 | unsigned | resumable stream   |
      | 600 | signed   | resumable stream   |
      | 600 | unsigned | resumable stream   |
      | 700 | signed   | resumable stream   |
      | 700 | unsigned | resumable stream   |
      | 999 | signed   | resumable stream   |
      | 999 | unsigned | resumable stream   |

  Scenario Outline: The last valid status and one without a body are passed on
    Given a target that answers with status <status>, signed
    When a booking is sent to it, and another target answers in full
    Then the caller has received status <status> of 1 target

    Examples:
      | status |
      | 204    |
      | 304    |
      | 599    |
