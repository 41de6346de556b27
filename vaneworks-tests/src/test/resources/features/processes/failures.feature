Feature: Guarantees with separate processes and real signals

  Background:
    Given a platform
    And an engine e1 with layers 0-6 and a step of 3 ms
    And an engine e2 with layers 6-12 and a step of 3 ms
    And an engine e3 with layers 0-6 and a step of 4 ms
    And an engine e4 with layers 6-12 and a step of 4 ms
    And a plain service records
    And nodes n1 and n2
    And a node n3
    When the configuration with 500 tokens for workspace ward is applied as version 1
    Then version 1 is in force on n1 and n2
    Given n1 can answer workspace ward
    And n2 can answer workspace ward
    And n3 can answer workspace ward
    And n1, n2 and n3 can use records
    And n1 and n2 have discovered each other
    And n1 and n3 have discovered each other
    And n2 and n3 have discovered each other

  Scenario: An engine freezes in the middle of a stream and goes on later
    When caller anna streams 300 tokens from n1 for workspace ward
    And in the middle of anna's stream e1 receives signal STOP
    And caller bert streams 100 tokens from n2 for workspace ward
    Then caller bert has the complete, correct answer of 100 tokens
    And caller anna has the complete, correct answer of 300 tokens
    When e1 receives signal CONT
    And caller cleo streams 100 tokens from n1 for workspace ward
    Then caller cleo has the complete, correct answer of 100 tokens

  Scenario: Tickets and keys over stops, kills and outages
    When ticket t1 is issued by n1
    And ticket t2 is issued by n1
    And swap 1 is confirmed at n2 with ticket t1
    Then the service answers that it ran 1 time
    When swap 1 is confirmed at n3 with ticket t1
    Then the service answers that it ran 1 time
    When swap 7 is confirmed at n2 with key k7
    Then the service answers that it ran 1 time
    When the store's faults are set to '{"loseAnswers": 1}'
    And swap 8 is confirmed at n1 with key k8
    Then the service answers that it ran 1 time
    When the store's faults are set to '{"down": true}'
    And swap 9 is confirmed at n1 with key k9
    Then the answer has status 503, reason store-unavailable and verdict MAY_HAVE_RUN
    When swap 7 is confirmed at n2 with key k7
    Then the service answers that it ran 1 time
    When the store's faults are set to '{}'
    And n1 is stopped gracefully and replaced
    And swap 1 is confirmed at n2 with ticket t1
    Then the service answers that it ran 1 time
    When swap 2 is confirmed at n3 with ticket t2
    Then the service answers that it ran 1 time
    When ticket t3 is issued by n2
    And n2 is killed and replaced
    And swap 3 is confirmed at n3 with ticket t3
    Then the answer has status 409, reason home-lost and verdict MAY_HAVE_RUN
    And swap 1 ran 1 time
    And swap 2 ran 1 time
    And swap 3 ran 0 times
    And swap 7 ran 1 time
    And swap 8 ran 1 time

  Scenario: All nodes are replaced one by one under load
    When callers stream from n1, n2 and n3 while each node is replaced in turn
    Then every caller has the complete, correct answer of 120 tokens
