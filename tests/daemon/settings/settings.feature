Feature: Settings are checked before anything starts

  Scenario: Good settings are read
    When the settings of a balancer are read
    Then the role is balancer

  Scenario Outline: Bad settings are refused with file and key
    Given the settings of a balancer in which <change>
    When the settings are read
    Then one failure names the file, the key "<key>" and "<found>"

    Examples:
      | change                          | key                               | found                  |
      | name is missing                 | name                              | missing                |
      | colour = "red" is added         | colour                            | unknown key            |
      | name = 7 is put                 | name                              | found 7                |
      | role = "king" is put            | role                              | expected one of        |
      | admin = "localhost:1" is put    | admin                             | found 'localhost:1'    |
      | admin = "127.0.0.1:99999" is put | admin                            | found '127.0.0.1:99999' |
      | control = [] is put             | control                           | expected a list        |
      | stale_after = 0 is put          | balancer.stale_after              | from 1 to 3600         |
      | bind = 3 is put                 | balancer.entries[0].bind          | found 3                |
      | role = "agent" is put           | agent                             | missing                |

  Scenario: All failures are named at once
    Given the settings of a balancer in which name is missing
    And also admin = 1 is put
    When the settings are read
    Then 2 failures are named

  Scenario Outline: A file that cannot be read
    Given a settings file that <fault>
    When the settings are read
    Then one failure names the file, the key "file" and "<found>"

    Examples:
      | fault            | found          |
      | does not exist   | cannot be read |
      | is a folder      | cannot be read |
      | is not TOML      | is not TOML    |
      | is not UTF-8     | is not TOML    |
