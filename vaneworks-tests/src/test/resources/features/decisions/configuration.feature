Feature: An accepted configuration takes effect on all nodes within seconds and is never reverted

  Background:
    Given eight nodes n1 to n8
    And the fleet has settled

  Scenario: A change with the store up
    When operator ann sets 50 tokens
    Then operator ann's change is accepted as version 2
    And version 2 is in force on every node within 2000 ms
    And no node ever went back to an older version

  Scenario: Two operators change the same template at the same moment
    When the store answers 20 ms late
    And operator ann sets 50 tokens
    And operator bob sets 60 tokens
    Then of operators ann and bob one wins and the other gets a conflict on template/t
    And version 2 is in force on every node within 2000 ms

  Scenario: Two operators change different resources at the same moment
    When the store answers 20 ms late
    And operator ann sets 50 tokens
    And operator bob adds workspace other
    And 5000 ms pass
    Then version 3 is in force on every node within 2000 ms
    And no node ever went back to an older version

  Scenario: The answer to the write that accepts a change is lost
    When the store writes the head the next 1 times without answering
    And operator ann sets 50 tokens
    Then operator ann's change is accepted as version 2
    And version 2 is in force on every node within 2000 ms

  Scenario: Answers to several writes of one change are lost
    When the store writes the next 4 times without answering
    And operator ann sets 50 tokens
    Then operator ann's change is accepted as version 2
    And version 2 is in force on every node within 2000 ms

  Scenario: The store goes down right after it accepted a change
    When operator ann sets 50 tokens
    And 15 ms pass
    And the store goes down
    Then version 2 is in force on every node within 4000 ms

  Scenario: The store is slow
    When the store answers 900 ms late
    And operator ann sets 50 tokens
    Then operator ann's change is accepted as version 2
    And version 2 is in force on every node within 6000 ms

  Scenario: A node starts during an outage
    When operator ann sets 50 tokens
    Then version 2 is in force on every node within 2000 ms
    When the store goes down
    And n9 starts
    Then version 2 is in force on every node within 6000 ms
    And n9 is ready

  Scenario: A node that was frozen over several changes
    When node n4 freezes
    And operator ann sets 50 tokens
    And 5000 ms pass
    And operator ann sets 60 tokens
    And 5000 ms pass
    And node n4 thaws
    Then version 3 is in force on every node within 5000 ms
    And no node ever went back to an older version

  Scenario: All nodes are replaced one by one during an outage
    When operator ann sets 50 tokens
    Then version 2 is in force on every node within 2000 ms
    When the store goes down
    And node n1 is killed
    And n1 starts
    And 8000 ms pass
    And node n2 is killed
    And n2 starts
    And 8000 ms pass
    And node n3 is killed
    And n3 starts
    And 8000 ms pass
    And node n4 is killed
    And n4 starts
    And 8000 ms pass
    And node n5 is killed
    And n5 starts
    And 8000 ms pass
    And node n6 is killed
    And n6 starts
    And 8000 ms pass
    And node n7 is killed
    And n7 starts
    And 8000 ms pass
    And node n8 is killed
    And n8 starts
    And 8000 ms pass
    Then version 2 is in force on every node within 1000 ms
