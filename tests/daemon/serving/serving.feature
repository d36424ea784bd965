Feature: A small HTTP server answers by functions

  Scenario Outline: <method> <path> is answered with <status>
    Given a server with a route, a route with a name, and one that fails
    When <method> <path> is asked for
    Then the status is <status> and the body "<body>"

    Examples:
      | method | path       | status | body    |
      | GET    | /plain     | 200    | plain   |
      | POST   | /plain     | 404    |         |
      | GET    | /nothing   | 404    |         |
      | POST   | /named/i-7 | 202    | i-7 abc |
      | POST   | /named/    | 404    |         |
      | GET    | /failing   | 500    |         |

  Scenario: An unexpected error is logged with its path
    Given a server with a route, a route with a name, and one that fails
    When GET /failing is asked for
    Then event 1009 was logged for "/failing"

  Scenario: Rubbish on a connection does not stop the server
    Given a server with a route, a route with a name, and one that fails
    When 20 connections send random bytes
    And GET /plain is asked for
    Then the status is 200 and the body "plain"
