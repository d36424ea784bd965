Feature: Addresses in settings and on the command line

  Scenario Outline: What is read as an address
    When the text "<text>" is read as an address
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

  Scenario: A packed address is read back
    When the address 10.1.2.3:65535 is packed and unpacked
    Then it is 10.1.2.3:65535 again
