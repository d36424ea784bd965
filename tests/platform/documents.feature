Feature: Heartbeats, route sets and settings are accepted or refused as a whole

  Scenario Outline: A heartbeat <case>
    When a heartbeat with <key> <value> is read for service "s"
    Then it is <outcome>

    Examples:
      | case                            | key     | value      | outcome               |
      | that is valid                   | Seq     | 4          | accepted              |
      | of a draining target            | State   | "draining" | accepted as draining  |
      | with the start of its target    | born    | 7          | accepted with start 7 |
      | of an unknown state             | State   | "odd"      | refused               |
      | of another service              | Service | "t"        | refused               |
      | without slots                   | Slots   | 0          | refused               |
      | with slots as string            | Slots   | "4"        | refused               |
      | with a start as string          | born    | "7"        | refused               |
      | with a start that is a fraction | born    | 7.5        | refused               |
      | with an unknown field           | Further | 1          | accepted              |
      | with a number above 64 bits     | Slots   | 99999999999999999999 | refused     |
      | with a start above 64 bits      | born    | 99999999999999999999 | refused     |
      | with a number below 64 bits     | Seq     | -99999999999999999999 | refused    |
      | with far too many slots         | Slots   | 9000000000000000000 | refused      |

  # Guards against processes that end or stop following because of one odd
  # entry, and against documents that are stored but can't be read back.
  Scenario Outline: A body with <content> in a field that is not used
    When a heartbeat and the example configuration are read with <content>
    Then each is refused with a reason

    Examples:
      | content                         |
      | a byte that UTF-8 doesn't have  |
      | a character that is cut short   |
      | lists nested 100,000 deep       |
      | objects nested 100,000 deep     |
      | half of a surrogate pair        |

  Scenario Outline: A configuration with <case>
    When the example configuration is read with <case>
    Then it is <outcome>

    Examples:
      | case                                 | outcome  |
      | no change                            | accepted |
      | a truncated end                      | refused  |
      | no content                           | refused  |
      | a route for uploads                  | accepted |
      | a string as route                    | refused  |
      | a route without a service            | refused  |
      | both a service and weighted backends | refused  |
      | an unknown route type                | refused  |
      | a host name as address               | refused  |
      | a longer prefix                      | refused  |
      | a string as version                  | refused  |
      | no list of services                  | refused  |
      | a version above 64 bits              | refused  |
      | a timeout above 64 bits              | refused  |
      | port 0                               | refused  |
      | a port above 65535                   | refused  |
      | a port above 64 bits                 | refused  |
      | a port above 65535 after zeros       | refused  |
      | a port with thousands of digits      | refused  |
      | empty lists of regions               | accepted |
      | AllowedRegions                       | refused  |
      | Homes                                | refused  |
      | a negative ColdPerS                  | refused  |
      | a string as ColdPerS                 | refused  |
      | an infinite ColdPerS                 | refused  |
      | a negative ColdStartS                | refused  |

  Scenario: The requests of a route for uploads run at most once
    When the example configuration is read with a route for uploads
    Then its requests may run at most once

  # Guards against a rate that is accepted and not applied.
  Scenario: The rates of cold targets are read
    When the example configuration is read with rates of cold targets
    Then service "s" has a rate of 20 per second for 8 s, and "t" has none

  Scenario Outline: A route set with <case>
    When the example configuration is checked with <case>
    Then it is <outcome>

    Examples:
      | case                       | outcome  |
      | no change                  | accepted |
      | an unknown service         | refused  |
      | two routes for one address | refused  |
      | one port written twice     | refused  |
      | a timeout of 0             | refused  |
      | weights of 0               | refused  |
      | a negative weight          | refused  |

  # Guards against a configuration that is acknowledged and can't be applied by
  # any balancer.
  Scenario: Each random configuration that is accepted can be applied
    When 2000 configurations are drawn with odd addresses, ports, weights and times
    Then some of them are accepted, and balancers can apply each of these

  Scenario: The settings of each role are read
    When the example settings are read for each role
    Then control's seeds, the ports and the bounds have the values of the file

  # A file without them must not keep a control instance from starting.
  Scenario Outline: The availability zones are read from the settings: <table>
    Then settings with the zones <table> name the zones <names>

    Examples:
      | table                                | names |
      | {"x": "r", "y": "r"}                 | x,y   |
      | {"x": {"Region": "r", "Weight": 1}}  | x     |
      | {}                                   | -     |
      | null                                 | -     |
      | missing                              | -     |

  Scenario Outline: Settings with <case>
    When the example settings are read with <case>
    Then it is refused

    Examples:
      | case                   |
      | a truncated end        |
      | a bad address          |
      | too few internal ports |
      | internal ports above 65535 |
      | no listen addresses    |
      | a negative ColdSlack   |
      | a ColdOver of 0        |
