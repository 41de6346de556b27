Feature: Every layer runs exactly once for each token, in order

  Background:
    Given engine a1 with layers 0 to 4 and a step of 5 ms
    And engine a2 with layers 0 to 4 and a step of 5 ms
    And engine b1 with layers 4 to 12 and a step of 8 ms
    And engine b2 with layers 4 to 8 and a step of 4 ms
    And engine b3 with layers 8 to 12 and a step of 4 ms
    And node n1
    And the fleet has settled

  Scenario: Nothing fails
    When anna asks n1 for 30 tokens
    Then anna's answer is whole and right
    And no live engine holds a session

  Scenario: A stage is killed in the middle of a token
    When anna asks n1 for 50 tokens
    And anna has 10 tokens
    And b1 is killed
    Then anna's answer is whole and right

  Scenario: Two stages are killed, one after the other
    When anna asks n1 for 50 tokens
    And anna has 10 tokens
    And a1 is killed
    And b2 is killed
    And 400 ms pass
    And anna has 20 tokens
    Then anna's answer is whole and right

  Scenario: A stage freezes and answers its old epoch after it was replaced
    When anna asks n1 for 400 tokens
    And anna has 10 tokens
    And b1 freezes
    And 4000 ms pass
    And b1 thaws
    Then anna's answer is whole and right

  Scenario: Every copy of a stage freezes for a while
    When anna asks n1 for 400 tokens
    And anna has 10 tokens
    And b1 freezes
    And b2 freezes
    And 6000 ms pass
    And b1 thaws
    And b2 thaws
    Then anna's answer is whole and right

  Scenario: An answer is lost after the work was done
    When anna asks n1 for 50 tokens
    And anna has 10 tokens
    And the next 1 answers of a1 are lost
    And the next 1 answers of a2 are lost
    Then anna's answer is whole and right

  Scenario: Answers are exchanged between many streams
    When 40 callers ask n1 for 20 tokens each
    And 120 ms pass
    And the next 20 answers of a1 are exchanged between streams
    And the next 20 answers of b1 are exchanged between streams
    Then every answer is whole and right
    And n1 dropped at least 1 foreign answers

  Scenario: Only a full set of layers of other cut is left
    When anna asks n1 for 60 tokens
    And anna has 10 tokens
    And b2 is killed
    And b1 is killed
    Then anna's answer ends with reason no-endpoint and verdict RAN

  Scenario: A request that is not repeatable is not run again
    When anna asks n1 for 50 tokens, not repeatable
    And anna has 10 tokens
    And a1 is killed
    And a2 is killed
    Then anna's answer ends with reason endpoint-lost and verdict RAN

  Scenario: Nothing covers the model
    Given a1 is killed
    And a2 is killed
    And 3000 ms pass
    When anna asks n1 for 5 tokens
    Then anna's answer ends with reason no-endpoint and verdict NOT_RUN
    And no engine ran any part of anna's request

  Scenario: Stages are lost when the inputs to rebuild them were given up for their size
    Given node n2 keeps 0 characters to rebuild a stream
    And 20000 ms pass
    When anna asks n2 for 60 tokens
    And anna has 10 tokens
    And b1 is killed
    And a1 is killed
    Then anna's answer is whole and right
