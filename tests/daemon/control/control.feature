Feature: Control instances over real sockets

  Scenario: A change outlives the leader and a restart of all
    Given 3 control instances and a node "n"
    When change "first" against revision 0 is sent to a follower
    Then the answer has status 200
    When the leader is stopped
    And change "second" against the newest revision is sent to a follower
    Then the answer has status 200
    And the newest revision is in force at node "n"
    When all control instances are stopped and started again
    And change "first" against revision 0 is sent to a follower
    Then the answer is the first answer to "first"
    And the newest revision is in force at node "n"
    And node "n" never went back to a lower revision

  Scenario: A first outcome outlives the log, and a repair
    Given a snapshot is taken every 5 entries
    And 3 control instances and a node "n"
    When change "first" against revision 0 is sent to a follower
    And a follower is stopped
    And 30 changes against the newest revision are accepted
    And the follower is started again
    Then all control instances hold the same
    When all control instances are stopped and started again
    And change "first" against revision 0 is sent to a follower
    Then the answer is the first answer to "first"
    And the newest revision is in force at node "n"
    And node "n" never went back to a lower revision

  Scenario Outline: A node leaves a control instance that is isolated
    Given 3 control instances and a node "n" on <role>
    When no message of that instance to the others gets out
    Then node "n" moves to another instance and stays a member
    And the newest revision is in force at node "n"

    Examples:
      | role       |
      | the leader |
      | a follower |

  Scenario: Without a quorum no read counts as fresh and no change is taken
    Given 3 control instances and a node "n"
    When all control instances but one are stopped
    And change "late" against revision 0 is sent to the one
    Then the answer has status 503 or 504
    When the configuration is read from the one
    Then the answer has status 503
    When the configuration is read from the one with "?stale=true"
    Then the answer has status 200 and is not linearized
    And node "n" knows that its state is stale, and serves

  Scenario: A process with a wrong key gets nothing in
    Given 1 control instances and a node "n"
    When a node "stranger" with a wrong key starts
    Then event 5002 is logged
    And "stranger" is no member

  Scenario Outline: Requests that are refused
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

  Scenario Outline: Token files
    Given the token file "<text>"
    Then it is <outcome>

    Examples:
      | text                           | outcome |
      | ana operator 0123456789abcdef  | read    |
      | # comment                      | refused |
      | ana owner 0123456789abcdef     | refused |
      | ana operator 0123456789abcde   | refused |
      | ana operator                   | refused |
