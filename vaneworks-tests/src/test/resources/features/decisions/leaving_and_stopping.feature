Feature: Endpoints leave and nodes stop without aborting requests

  Background:
    Given engine a1 with layers 0 to 6 and a step of 5 ms
    And engine a2 with layers 0 to 6 and a step of 5 ms
    And engine b1 with layers 6 to 12 and a step of 5 ms
    And eight nodes n1 to n8
    And the fleet has settled

  Scenario: An endpoint that is listed as leaving gets no new work after 3 s
    When the box list says that a1 is leaving
    And 3000 ms pass
    And 40 callers ask n1 for 5 tokens each
    Then a1 runs nothing more
    And every answer is whole and right

  Scenario: Streams on a leaving endpoint finish or move
    When 10 callers ask n2 for 900 tokens each
    And 200 ms pass
    And the box list says that a1 is leaving
    Then every answer is whole and right
    And nothing ran twice

  Scenario: A stream that is not repeatable moves too, and no layer runs twice
    When anna asks n1 for 900 tokens, not repeatable
    And bert asks n1 for 900 tokens, not repeatable
    And cleo asks n1 for 900 tokens, not repeatable
    And anna has 5 tokens
    And the box list says that a1 is leaving
    Then anna's answer is whole and right
    And bert's answer is whole and right
    And cleo's answer is whole and right
    And nothing ran twice
    And a1 runs nothing more

  Scenario: A node stops with requests in flight
    When anna asks n1 for 300 tokens
    And anna has 5 tokens
    And n1 begins a planned stop
    Then n1 stops with 0 requests cut
    And anna's answer is whole and right

  Scenario: A stopping node takes requests during the balancer's lag, then refuses
    When anna asks n1 for 600 tokens
    And anna has 5 tokens
    And n1 begins a planned stop
    And bert asks n1 for 5 tokens
    And 1100 ms pass
    And cleo asks n1 for 5 tokens
    Then bert's answer is whole and right
    And cleo's answer ends with reason stopping and verdict NOT_RUN
    And no engine ran any part of cleo's request
    And anna's answer is whole and right
    And n1 stops with 0 requests cut

  Scenario: An endpoint that left the list is let go of, and a stream there goes on
    When anna asks n1 for 900 tokens
    And anna has 5 tokens
    And the box list no longer has a1
    And 40000 ms pass
    Then connections to a1 are let go of
    And anna's answer is whole and right
