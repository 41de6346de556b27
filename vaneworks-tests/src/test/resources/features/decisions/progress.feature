Feature: A frozen engine is detected by missing progress, and a busy engine is not affected

  Background:
    Given engine a1 with layers 0 to 6 and a step of 5 ms
    And engine a2 with layers 0 to 6 and a step of 5 ms
    And engine b1 with layers 6 to 12 and a step of 5 ms
    And node n1
    And the fleet has settled
    When 8 callers ask n1 for 60 tokens each
    Then every answer is whole and right

  Scenario: A repeatable stream gets over a frozen engine within a second
    When anna asks n1 for 300 tokens
    And anna has 20 tokens
    And the engine that runs anna's first layers freezes
    And 1000 ms pass
    Then anna has got at least 30 tokens

  Scenario: A stream that is not repeatable waits for an engine that only pauses
    When anna asks n1 for 100 tokens, not repeatable
    And anna has 20 tokens
    And b1 freezes
    And 2500 ms pass
    And b1 thaws
    Then anna's answer is whole and right
    And nothing ran twice
