Feature: The complete request path with separate processes

  Background:
    Given a platform
    And an engine e1 with layers 0-4 and a step of 2 ms
    And an engine e2 with layers 4-12 and a step of 3 ms
    And an engine e3 with layers 0-6 and a step of 5 ms
    And an engine e4 with layers 6-12 and a step of 5 ms
    And a plain service records
    And nodes n1 and n2
    When the configuration with 500 tokens for workspace ward is applied as version 1
    Then version 1 is in force on n1 and n2
    Given n1 can answer workspace ward
    And n2 can answer workspace ward

  Scenario: Two callers stream at once, an engine is killed, the configuration changes, a node stops
    When caller anna streams 60 tokens from n1 for workspace ward
    And caller bert streams 60 tokens from n2 for workspace ward
    Then caller anna has the complete, correct answer of 60 tokens
    And caller bert has the complete, correct answer of 60 tokens
    When caller cleo streams 200 tokens from n1 for workspace ward
    And in the middle of cleo's stream e2 receives signal KILL
    Then caller cleo has the complete, correct answer of 200 tokens
    When the configuration with 400 tokens for workspace ward is applied as version 2
    Then version 2 is in force on n1 and n2
    When caller dora streams 300 tokens from n2 for workspace ward
    And in the middle of dora's stream n2 receives signal TERM
    Then caller dora has the complete, correct answer of 300 tokens
    And n2 exits with code 0

  Scenario: Every refusal says why, and that nothing ran
    When a caller sends POST /v1/workspaces/none/completions to n1 with body '{"prompt":"x"}'
    Then the answer has status 404, reason unknown-workspace and verdict NOT_RUN
    When a caller sends POST /v1/workspaces/ward/completions to n1 with body '{"prompt":'
    Then the answer has status 400, reason malformed-body and verdict NOT_RUN
    When a caller sends POST /v1/workspaces/ward/completions to n1 with body '{"stream":true}'
    Then the answer has status 400, reason invalid-field and verdict NOT_RUN
    When a caller sends POST /v1/workspaces/ward/completions to n1 with body '{"prompt":"x","max_tokens":501}'
    Then the answer has status 400, reason invalid-field and verdict NOT_RUN
    When a caller sends GET /v1/workspaces/ward/completions to n1 with body ''
    Then the answer has status 405, reason method-not-allowed and verdict NOT_RUN
    And the answer's header allow is POST
    When a caller sends POST /v1/workspaces/ward/completions to n1 with body '{"prompt":"x"}' and header vaneworks-deadline-ms 'soon'
    Then the answer has status 400, reason invalid-header and verdict NOT_RUN
    When a caller sends POST /v1/workspaces/ward/completions to n1 with body '{"prompt":"x"}' and header content-type 'text/plain'
    Then the answer has status 415, reason unsupported-media-type and verdict NOT_RUN
    When a caller sends GET /nowhere to n1 with body ''
    Then the answer has status 404, reason unknown-path and verdict NOT_RUN
    When a caller sends POST /v1/workspaces/ward/services/none/x to n1 with body ''
    Then the answer has status 404, reason unknown-service and verdict NOT_RUN
    Given n1 can use records
    When a caller sends POST /v1/workspaces/ward/services/records/confirm to n1 with body '{"swap":1}'
    Then the service answers that it ran 1 time
