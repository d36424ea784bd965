Feature: Concurrent and repeated changes of operators

  Scenario Outline: A change is sent again after its response is lost <moment>
    Given 3 control instances that all vote
    When the response to change "first" is lost <moment>
    And change "first" is sent again to the leader
    Then each attempt at change "first" gives the same outcome, accepted at revision 1
    And every instance holds the configuration at revision 1

    Examples:
      | moment                                              |
      | before any other instance has it                    |
      | before the commit, and it is committed later        |
      | after the commit                                    |
      | after the commit, and all instances restart         |
      | after the commit, and all instances take a snapshot |

  Scenario Outline: Two changes based on the same revision, sent <order>
    Given 3 control instances that all vote
    When change "first" and change "second" are sent <order>
    Then one is accepted at revision 1 and the other conflicts with it
    And every instance holds the configuration at revision 1

    Examples:
      | order                                  |
      | together                               |
      | in turn                                |
      | to an isolated leader and to a new one |
