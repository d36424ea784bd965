Feature: The HTTP server passes each request to the handler of its route

  Scenario Outline: <method> <path> is answered with <status>
    Given a server with a plain route, a route with a name, and a failing route
    When <method> <path> is requested
    Then the status is <status> and the body "<body>"

    Examples:
      | method | path       | status | body    |
      | GET    | /plain     | 200    | plain   |
      | POST   | /plain     | 404    |         |
      | GET    | /nothing   | 404    |         |
      | POST   | /named/i-7 | 202    | i-7 abc |
      | POST   | /named/    | 404    |         |
      | GET    | /failing   | 500    |         |

  Scenario: An exception in a handler is logged with the path of the request
    Given a server with a plain route, a route with a name, and a failing route
    When GET /failing is requested
    Then event 1009 was logged for "/failing"

  Scenario: The server keeps serving after connections with random bytes
    Given a server with a plain route, a route with a name, and a failing route
    When 20 connections send random bytes
    And GET /plain is requested
    Then the status is 200 and the body "plain"

  Scenario: A server that finishes answers what it has accepted and accepts no more
    Given a server with a route that is answered after 0.3 s
    When 3 requests are in progress, 2 connections have sent nothing yet, and the server finishes within 2 s
    And the 2 connections send their requests 0.02 s later
    Then all 5 requests are answered before the server has finished
    And new connections are refused

  Scenario: A server that finishes does not wait longer than it is told
    Given a server with a route that is answered after 30 s
    When 3 requests are in progress, 0 connections have sent nothing yet, and the server finishes within 0.2 s
    Then the server has finished within 1 s
