Feature: Body of a completion request
  Guards against bodies that end a request with an internal error instead of a clear answer.

  Scenario Outline: A body that is no JSON text is refused with its place
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

  Scenario: A body in UTF-8 is taken
    When a completion request has the body b'{"model": "m", "messages": [{"role": "u", "content": "\xc3\xa9"}]}'
    Then it is taken
