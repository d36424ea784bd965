Feature: Reading and validating the settings file of a daemon

  Scenario: Valid settings are read
    When the settings of a balancer are read
    Then the role is balancer

  Scenario Outline: An error names the file and the key of an invalid setting
    Given the settings of a balancer in which <change>
    When the settings are read
    Then one error names the file, the key "<key>" and "<found>"

    Examples:
      | change                           | key                      | found                   |
      | name is missing                  | name                     | missing                 |
      | colour = "red" is added          | colour                   | unknown key             |
      | name = 7 is set                  | name                     | found 7                 |
      | role = "king" is set             | role                     | expected one of         |
      | admin = "localhost:1" is set     | admin                    | found 'localhost:1'     |
      | admin = "127.0.0.1:99999" is set | admin                    | found '127.0.0.1:99999' |
      | control = [] is set              | control                  | expected a list         |
      | stale_after = 0 is set           | balancer.stale_after     | from 1 to 3600          |
      | bind = 3 is set                  | balancer.entries[0].bind | found 3                 |
      | role = "agent" is set            | agent                    | missing                 |

  Scenario: All errors are reported together
    Given the settings of a balancer in which name is missing
    And also admin = 1 is set
    When the settings are read
    Then 2 errors are reported

  Scenario Outline: A file that cannot be read
    Given a settings file that <fault>
    When the settings are read
    Then one error names the file, the key "file" and "<found>"

    Examples:
      | fault          | found          |
      | does not exist | cannot be read |
      | is a folder    | cannot be read |
      | is not TOML    | is not TOML    |
      | is not UTF-8   | is not TOML    |
