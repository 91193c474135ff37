Feature: Body of a completion request
  Guards against malformed bodies that cause an internal error instead of a clear error response.

  Scenario Outline: An invalid body is refused with the place of the error
    When a completion request has the body <body>
    Then it is refused as invalid with a finding at "<place>"

    Examples:
      | body                                                 | place      |
      | b'\xff\xfe'                                          | $          |
      | b'{"model": "m\xff", "messages": []}'                | $          |
      | b'{"model": "m", "messages": [{"role": "u\xc3", "content": "a"}]}' | $ |
      | b'{"m\xff": 1}'                                      | $          |
      | b'[]'                                                | $          |
      | b''                                                  | $          |
      | b'{"model": 5, "messages": [{"role": "u", "content": "a"}]}' | $.model |
      | b'{"model": "m", "messages": []}'                    | $.messages |

  Scenario: A body in UTF-8 is accepted
    When a completion request has the body b'{"model": "m", "messages": [{"role": "u", "content": "\xc3\xa9"}]}'
    Then it is accepted
