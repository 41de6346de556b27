Feature: A request marked as not repeatable runs at most once

  Background:
    Given engine a1 with layers 0 to 6 and a step of 5 ms
    And engine b1 with layers 6 to 12 and a step of 5 ms
    And the plain service records
    And eight nodes n1 to n8
    And the fleet has settled

  Scenario: A repeat under a ticket at another node gets the first answer
    When ticket t is taken from n1
    And call first confirms swap 17 at n1 with ticket t
    Then call first is answered
    When call second confirms swap 17 at n5 with ticket t
    Then call second is answered
    And swap 17 ran 1 time

  Scenario: Repeats race at all nodes
    When ticket t is taken from n3
    And call c1 confirms swap 17 at n1 with ticket t
    And call c2 confirms swap 17 at n2 with ticket t
    And call c3 confirms swap 17 at n3 with ticket t
    And call c4 confirms swap 17 at n4 with ticket t
    Then call c1 is answered
    And call c2 is answered
    And call c3 is answered
    And call c4 is answered
    And swap 17 ran 1 time

  Scenario: A letter under a ticket is whole wherever it is asked for again
    When ticket t is taken from n2
    And anna asks n2 for 40 tokens with ticket t
    And anna has 5 tokens
    And bert repeats anna's request at n7 for 40 tokens with ticket t
    Then anna's answer is whole and right
    And bert's answer is whole and right

  Scenario: The home of a ticket dies before it is used
    When ticket t is taken from n1
    And node n1 is killed
    And 10000 ms pass
    And call first confirms swap 17 at n2 with ticket t
    Then call first is refused with reason home-lost and verdict MAY_HAVE_RUN
    And swap 17 ran 0 times

  Scenario: The home of a ticket dies after it ran and is replaced by another run
    When ticket t is taken from n1
    And call first confirms swap 17 at n1 with ticket t
    Then call first is answered
    When node n1 is killed
    And n1 starts
    And 10000 ms pass
    And call second confirms swap 17 at n1 with ticket t
    Then call second is refused with reason home-lost and verdict MAY_HAVE_RUN
    And swap 17 ran 1 time

  Scenario: The home of a ticket freezes, and goes on later
    When ticket t is taken from n1
    And node n1 freezes
    And call first confirms swap 17 at n2 with ticket t
    And 30000 ms pass
    And node n1 thaws
    And 30000 ms pass
    And call second confirms swap 17 at n3 with ticket t
    And 10000 ms pass
    And call third confirms swap 17 at n1 with ticket t
    Then call third is answered
    And swap 17 ran 1 time

  Scenario: The home's reply is lost after the call ran
    When ticket t is taken from n1
    And the next 1 replies of node n1 are lost
    And call first confirms swap 17 at n2 with ticket t
    And call second confirms swap 17 at n3 with ticket t
    Then call second is answered
    And swap 17 ran 1 time

  Scenario: A planned stop of the home hands its records to a successor
    When ticket used is taken from n1
    And ticket fresh is taken from n1
    And call first confirms swap 17 at n1 with ticket used
    Then call first is answered
    When n1 begins a planned stop
    Then n1 stops with 0 requests cut
    When 10000 ms pass
    And call second confirms swap 17 at n2 with ticket used
    And call third confirms swap 18 at n3 with ticket fresh
    Then call second is answered
    And call third is answered
    And swap 17 ran 1 time
    And swap 18 ran 1 time

  Scenario: Records outlive two planned stops, one after the other
    When ticket t is taken from n1
    And call first confirms swap 17 at n1 with ticket t
    And n1 begins a planned stop
    Then n1 stops with 0 requests cut
    When 10000 ms pass
    And n2 begins a planned stop
    And n3 begins a planned stop
    And n4 begins a planned stop
    And 10000 ms pass
    And call second confirms swap 17 at n8 with ticket t
    Then call second is answered
    And swap 17 ran 1 time

  Scenario: The successor takes the records over, but its word is lost
    When ticket t is taken from n1
    And the next 1 replies of node n2 are lost
    And the next 1 replies of node n3 are lost
    And the next 1 replies of node n4 are lost
    And the next 1 replies of node n5 are lost
    And the next 1 replies of node n6 are lost
    And the next 1 replies of node n7 are lost
    And the next 1 replies of node n8 are lost
    And n1 begins a planned stop
    Then n1 stops with 0 requests cut
    When 10000 ms pass
    And call c2 confirms swap 17 at n2 with ticket t
    And call c3 confirms swap 17 at n3 with ticket t
    And call c4 confirms swap 17 at n4 with ticket t
    And call c5 confirms swap 17 at n5 with ticket t
    And call c6 confirms swap 17 at n6 with ticket t
    And call c7 confirms swap 17 at n7 with ticket t
    And call c8 confirms swap 17 at n8 with ticket t
    And 60000 ms pass
    Then swap 17 ran 1 time

  Scenario: A ticket is used again when its record is long gone
    When ticket old is taken from n1
    And call first confirms swap 17 at n1 with ticket old
    Then call first is answered
    When 1500000 ms pass
    And ticket new is taken from n1
    And call other confirms swap 18 at n1 with ticket new
    Then call other is answered
    When call second confirms swap 17 at n1 with ticket old
    Then call second is refused with reason record-gone and verdict MAY_HAVE_RUN
    And swap 17 ran 1 time

  Scenario: A ticket that was never used expires
    When ticket old is taken from n1
    And 700000 ms pass
    And call first confirms swap 17 at n1 with ticket old
    Then call first is refused with reason record-gone and verdict MAY_HAVE_RUN
    And swap 17 ran 0 times

  Scenario: A forged or foreign ticket
    When ticket t is taken from n1
    And call first confirms swap 17 at n1 with ticket t
    And call second confirms swap 18 at n1 with ticket t
    Then call first is answered
    And call second is refused with reason key-reused and verdict NOT_RUN
    And swap 18 ran 0 times

  Scenario: Two nodes race on one key
    When call c1 confirms swap 17 at n1 with key k
    And call c2 confirms swap 17 at n2 with key k
    And call c3 confirms swap 17 at n3 with key k
    Then call c1 is answered
    And call c2 is answered
    And call c3 is answered
    And swap 17 ran 1 time

  Scenario: A key whose claim's write answer is lost
    When the store writes the next 1 times without answering
    And call first confirms swap 17 at n1 with key k
    And call second confirms swap 17 at n2 with key k
    Then call first is answered
    And call second is answered
    And swap 17 ran 1 time

  Scenario: A key during an outage of the store
    When the store goes down
    And call first confirms swap 17 at n1 with key k
    Then call first is refused with reason store-unavailable and verdict MAY_HAVE_RUN
    And call first was told when to come back
    And swap 17 ran 0 times
    When the store is back
    And 2000 ms pass
    And call second confirms swap 17 at n2 with key k
    Then call second is answered
    And swap 17 ran 1 time

  Scenario: A repeat of a claimed key during an outage of the store
    When call first confirms swap 17 at n1 with key k
    Then call first is answered
    When the store goes down
    And call other confirms swap 18 at n1 with key l
    And call second confirms swap 17 at n2 with key k
    And call third confirms swap 17 at n1 with key k
    Then call other is refused with reason store-unavailable and verdict MAY_HAVE_RUN
    And call second is answered
    And call third is answered
    And swap 17 ran 1 time

  Scenario: The holder of a key's claim dies
    When call first confirms swap 17 at n1 with key k
    Then call first is answered
    When node n1 is killed
    And 10000 ms pass
    And call second confirms swap 17 at n2 with key k
    Then call second is refused with reason home-lost and verdict MAY_HAVE_RUN
    And swap 17 ran 1 time

  Scenario: The claims' writer is unreachable from one side
    When the way from n1 to n2 is cut
    And the way from n1 to n3 is cut
    And the way from n1 to n4 is cut
    And the way from n1 to n5 is cut
    And the way from n1 to n6 is cut
    And the way from n1 to n7 is cut
    And the way from n1 to n8 is cut
    And call first confirms swap 17 at n1 with key k
    Then call first is answered
    When call second confirms swap 17 at n2 with key k
    Then call second is refused with reason home-lost and verdict MAY_HAVE_RUN
    And call second was told when to come back
    And swap 17 ran 1 time

  Scenario: Without ticket or key the node alone knows
    When call first confirms swap 17 at n1
    Then call first is answered
    And swap 17 ran 1 time

  Scenario: The service's answer is lost
    When records-box freezes
    And call first confirms swap 17 at n1
    Then call first is refused with reason deadline and verdict MAY_HAVE_RUN
    When records-box thaws
    And 10000 ms pass
    Then swap 17 ran 1 time
