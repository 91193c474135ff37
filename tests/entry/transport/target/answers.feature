Feature: Cut answers to the product's own clients
  Guards against an answer that counts as whole although it was cut, and against a call that may have
  run and counts as refused.

  Scenario Outline: The answer of a plain service that is cut at any byte is interrupted
    Given a plain service whose answer is sent <framing>
    When that answer is cut at each byte, and its connection <ends>
    Then every call was interrupted or has a whole answer

    Examples:
      | framing          | ends   |
      | with a length    | closes |
      | with a length    | resets |
      | in chunks        | closes |
      | in chunks        | resets |
      | without a length | closes |
      | without a length | resets |

  Scenario Outline: The answer of an engine that is cut at any byte is interrupted
    Given an engine whose answer is sent <framing>
    When that answer is cut at each byte, and its connection <ends>
    Then every stream was interrupted or has its end frame

    Examples:
      | framing          | ends   |
      | with a length    | closes |
      | with a length    | resets |
      | in chunks        | closes |
      | in chunks        | resets |
      | without a length | closes |
      | without a length | resets |

  Scenario Outline: A refusal that is cut does not count as one
    Given an engine whose refusal is sent <framing>
    When that answer is cut at each byte, and its connection <ends>
    Then only whole refusals count

    Examples:
      | framing       | ends   |
      | with a length | closes |
      | with a length | resets |
      | in chunks     | closes |

  Scenario Outline: A call gets only answers of plain services that are whole
    Given a plain service that answers <answer>
    When a call is sent to it
    Then the call <result>

    Examples:
      | answer                              | result            |
      | a length beside whole chunks        | was interrupted   |
      | a length of 0                       | got an empty body |
      | empty chunks                        | got an empty body |
      | a 204 without a length              | got an empty body |
      | a 500 without a length              | got an empty body |
      | a 204 with a body                   | got an empty body |
      | a 304 with a body                   | got an empty body |
      | status 599                          | got an empty body |

  Scenario Outline: A call does not get an answer whose status is none
    Guards against a status that callers take for neither a success nor a failure.
    Given a plain service that answers <answer>
    When a call is sent to it
    Then the call was interrupted

    Examples:
      | answer     |
      | status 000 |
      | status 099 |
      | status 101 |
      | status 199 |
      | status 600 |
      | status 700 |
      | status 999 |

  Scenario Outline: An answer of a plain service that is sent before it has read the upload
    Guards against a part of an answer without a length that ends as a whole one, because the write of
    the upload reports the reset and the read after it an end in order.
    Given a plain service which answers early <framing>, and then, <pause> ms later, does <end>
    When a call with an upload is sent to it
    Then the call <result>

    Examples:
      | framing          | pause | end               | result                     |
      | without a length | 0     | reset             | was interrupted            |
      | without a length | 20    | reset             | was interrupted            |
      | without a length | 300   | reset             | was interrupted            |
      | without a length | 20    | close             | was interrupted            |
      | without a length | 20    | end and reset     | was interrupted            |
      | without a length | 20    | read on and reset | was interrupted            |
      | without a length | 20    | end and read on   | got what was sent in order |
      | with a length    | 20    | reset             | got the whole body         |
      | with a length    | 20    | read on           | got the whole body         |
      | in chunks        | 20    | close             | got the whole body         |
