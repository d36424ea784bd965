Feature: Check of a set of configuration objects

  Background:
    Given the file "good.toml"
      """
      [policy.orders]
      queue_limit = 8
      [place.viti]
      region = "viti-west"
      availability_zones = ["lautoka-a", "nadi-b"]
      [service.soapfloor]
      addresses = ["10.0.0.1:443"]
      policy = "orders"
      places = ["viti"]
      """

  Scenario: A valid set is read, and its services get the limits of their policies
    When the set is checked
    Then service soapfloor has queue_limit 8 and request_timeout 30.0

  Scenario Outline: An error names the object, the key and the file
    Given the lines of "more.toml" are "<table>" then <line>
    When the set is checked
    Then an error at "<file>/<object>/<key>" says "<reason>"

    Examples:
      | table           | line                            | file      | object        | key                | reason             |
      | [policy.p]      | queue_limt = 1                  | more.toml | policy p      | queue_limt         | unknown key        |
      | [policy.p]      | queue_limit = 1.5               | more.toml | policy p      | queue_limit        | expected integer   |
      | [policy.p]      | queue_limit = true              | more.toml | policy p      | queue_limit        | expected integer   |
      | [policy.p]      | queue_limit = -1                | more.toml | policy p      | queue_limit        | expected 0 to      |
      | [policy.p]      | request_timeout = nan           | more.toml | policy p      | request_timeout    | expected 0.001 to  |
      | [policy.p]      | request_timeout = 0.5           | more.toml | policy p      | long_after         | exceeds            |
      | [policy.p]      | key_lifetime = 5                | more.toml | policy p      | request_timeout    | exceeds            |
      | [policy.orders] | queue_limit = 1                 | more.toml | policy orders |                    | good.toml          |
      | [policy.Orders] | queue_limit = 1                 | more.toml | policy Orders |                    | a name has         |
      | [pool.p]        | size = 1                        | more.toml | pool p        |                    | unknown kind       |
      | [place.p]       | region = "r"                    | more.toml | place p       | availability_zones | required           |
      | [place.p]       | availability_zones = ["nadi-b"] | more.toml | place p       | region             | required           |
      | [service.s]     | policy = "orders"               | more.toml | service s     | addresses          | required           |
      | [service.s]     | addresses = ["host:1"]          | more.toml | service s     | addresses          | expected host:port |
      | [service.s]     | addresses = []                  | more.toml | service s     | addresses          | empty              |
      | [service.s]     | places = ["viti", "viti"]       | more.toml | service s     | places             | twice              |
      | [service.s      | policy = "orders"               | more.toml |               |                    | not readable       |

  Scenario Outline: Conflicting objects and missing references
    Given the file "more.toml"
      """
      [service.intake]
      addresses = ["<address>"]
      policy = "<policy>"
      places = ["<place>"]
      [place.far]
      region = "<region>"
      availability_zones = ["nadi-b"]
      """
    When the set is checked
    Then an error at "<file>/<object>/<key>" says "<reason>"

    Examples:
      | address      | policy | place | region    | file      | object            | key                | reason    |
      | 10.0.0.1:443 | orders | viti  | viti-west | more.toml | service intake    | addresses          | soapfloor |
      | 0.0.0.0:443  | orders | viti  | viti-west | good.toml | service soapfloor | addresses          | overlaps  |
      | 10.0.0.2:443 | none   | viti  | viti-west | more.toml | service intake    | policy             | no policy |
      | 10.0.0.2:443 | orders | none  | viti-west | more.toml | service intake    | places             | no place  |
      | 10.0.0.2:443 | orders | far   | elsewhere | more.toml | place far         | availability_zones | region    |

  Scenario: All errors are reported at once
    Given the file "more.toml"
      """
      [service.intake]
      addresses = ["10.0.0.1:443"]
      policy = "none"
      [service.broken]
      addresses = "10.0.0.2:443"
      policy = "none"
      [policy.loose]
      colour = "red"
      request_timeout = "1 s"
      latency_objective = 40
      """
    When the set is checked
    Then there are 6 errors
