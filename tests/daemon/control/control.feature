Feature: Control instances that communicate over sockets

  Scenario: A change survives the loss of the leader and a restart of all instances
    Given 3 control instances and a node "n"
    When change "first" against revision 0 is sent to a follower
    Then the answer has status 200
    When the leader is stopped
    And change "second" against the newest revision is sent to a follower
    Then the answer has status 200
    And the newest revision is applied by node "n"
    When all control instances are restarted
    And change "first" against revision 0 is sent to a follower
    Then the answer is the first answer to "first"
    And the newest revision is applied by node "n"
    And node "n" never went back to a lower revision

  Scenario: The outcome of a change survives log compaction and a snapshot transfer
    Given a snapshot is taken every 5 entries
    And 3 control instances and a node "n"
    When change "first" against revision 0 is sent to a follower
    And a follower is stopped
    And 30 changes against the newest revision are accepted
    And the follower is restarted
    Then all control instances hold the same state
    When all control instances are restarted
    And change "first" against revision 0 is sent to a follower
    Then the answer is the first answer to "first"
    And the newest revision is applied by node "n"
    And node "n" never went back to a lower revision

  # Guards against a target that has left and is in use again, by a snapshot
  # or by the entries of the log.
  Scenario Outline: A node that left stays away after a restart of all instances, with a snapshot every <count> entries
    Given a snapshot is taken every <count> entries
    And 3 control instances and a node "n"
    When 8 changes against the newest revision are accepted
    And node "n" leaves
    And all control instances are restarted
    Then "n" is no member at any instance, nor its target published

    Examples:
      | count |
      | 5     |
      | 1000  |

  # Guards against a revoked token that is in use again.
  Scenario: A token that was removed is refused after a restart
    Given 1 control instances and a node "n"
    When GET /v1/configuration is sent with ana's and the body none
    Then the answer has status 200
    When the token file holds no token of an operator
    And all control instances are restarted
    And GET /v1/configuration is sent with ana's and the body none
    Then the answer has status 401

  Scenario Outline: A node moves away from an isolated control instance
    Given 3 control instances and a node "n" on <role>
    When that instance can no longer send to the others
    Then node "n" moves to another instance and stays a member
    And the newest revision is applied by node "n"

    Examples:
      | role       |
      | the leader |
      | a follower |

  # The operator's requests end when the process does, unless it waits for them.
  Scenario: Requests in progress are answered before a control instance exits
    Given 3 control instances and a node "n"
    When a follower is told to stop while 4 reads are in progress there
    Then each read was answered with status 200

  Scenario: Without a quorum linearized reads and changes fail
    Given 3 control instances and a node "n"
    When all control instances but one are stopped
    And change "late" against revision 0 is sent to the remaining one
    Then the answer has status 503 or 504
    When the configuration is read from the remaining one
    Then the answer has status 503
    When the configuration is read from the remaining one with "?stale=true"
    Then the answer has status 200 and is not linearized
    And node "n" detects that its state is stale and continues to serve

  Scenario: Messages of a process with a wrong key are dropped
    Given 1 control instances and a node "n"
    When a node "stranger" with a wrong key starts
    Then event 5002 is logged
    And "stranger" is not a member

  Scenario Outline: Invalid requests are refused
    Given 1 control instances and a node "n"
    When <method> <path> is sent with <token> and the body <body>
    Then the answer has status <status>
    And the answer is a problem of the type "<problem>"

    Examples:
      | method | path                  | token      | body            | status | problem      |
      | GET    | /v1/status            | none       | none            | 401    | unauthorized |
      | GET    | /v1/status            | a wrong one| none            | 401    | unauthorized |
      | GET    | /v1/status?revision=x | a reader's | none            | 400    | bad-request  |
      | GET    | /v1/nothing           | a reader's | none            | 404    | not-found    |
      | GET    | /v1/changes/none      | a reader's | none            | 404    | not-found    |
      | GET    | /v1/check             | a reader's | none            | 405    | bad-request  |
      | POST   | /v1/check             | a reader's | {               | 400    | bad-request  |
      | PUT    | /v1/configuration     | a reader's | {}              | 403    | forbidden    |
      | PUT    | /v1/configuration     | ana's      | {}              | 400    | bad-request  |
      | POST   | /v1/targets/n/drain   | a reader's | {}              | 403    | forbidden    |
      | POST   | /v1/targets/n/drain   | ana's      | {"incarnation":1} | 404  | not-found    |

  Scenario Outline: Token files are validated
    Given the token file "<text>"
    Then the file is <outcome>

    Examples:
      | text                           | outcome |
      | ana operator 0123456789abcdef  | read    |
      | # comment                      | refused |
      | ana owner 0123456789abcdef     | refused |
      | ana operator 0123456789abcde   | refused |
      | ana operator                   | refused |
