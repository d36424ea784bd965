Feature: Addresses in settings and on the command line

  Scenario Outline: Texts that are and are not accepted as addresses
    When the text "<text>" is parsed as an address
    Then the outcome is "<outcome>"

    Examples:
      | text            | outcome        |
      | 127.0.0.1:4433  | 127.0.0.1:4433 |
      | 127.0.0.1       | refused        |
      | localhost:4433  | refused        |
      | 127.0.0.1:65536 | refused        |
      | 127.0.0.1:-1    | refused        |
      | 127.0.0.1:      | refused        |
      | 1.2.3:80        | refused        |

    # Guards against a port of which a part is checked and all is converted.
    Examples: zeros in front
      | text                  | outcome       |
      | 127.0.0.1:0000099999  | refused       |
      | 127.0.0.1:00000065536 | refused       |
      | 127.0.0.1:0000065535  | 127.0.0.1:65535 |
      | 127.0.0.1:000000      | 127.0.0.1:0   |

  Scenario: Packing and unpacking an address gives the same address
    When the address 10.1.2.3:65535 is packed and unpacked
    Then the result is 10.1.2.3:65535

  Scenario Outline: The address <host> with port <port> can't be packed
    When a host <host> with port <port> is packed
    Then a ValueError is raised

    Examples:
      | host      | port  |
      | 127.0.0.1 | 65536 |
      | 127.0.0.1 | -1    |
      | 1.2.3     | 80    |
      | 1.2.3.256 | 80    |
      | localhost | 80    |
