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
