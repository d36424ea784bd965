Feature: Operators race, lose answers and send again

  Scenario Outline: A resend when the answer was lost <moment>
    Given 3 control instances that all vote
    When change "first" loses its answer <moment>
    And change "first" is sent again to the leader
    Then change "first" is accepted at revision 1, each time the same
    And every instance holds the configuration at revision 1

    Examples:
      | moment                                       |
      | before any other instance had it             |
      | before the commit, and it is committed later |
      | after the commit                             |
      | after the commit and a restart of all        |
      | after the commit and a snapshot              |

  Scenario Outline: Two equally numbered changes, <order>
    Given 3 control instances that all vote
    When change "first" and change "second" are sent <order>
    Then one is accepted at revision 1 and the other conflicts with it
    And every instance holds the configuration at revision 1

    Examples:
      | order                                               |
      | together                                            |
      | in turn                                             |
      | the first to an isolated leader, the second to a new one |
