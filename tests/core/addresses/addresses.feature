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

  Scenario: Packing and unpacking an address gives the same address
    When the address 10.1.2.3:65535 is packed and unpacked
    Then the result is 10.1.2.3:65535
