Feature: Refusals of a node that is not ready to serve

  Scenario: Without configuration, without engines, and over the body's bound
    Given a platform
    And a node n1
    When a caller sends POST /v1/workspaces/ward/completions to n1 with body '{"prompt":"x"}'
    Then the answer has status 503, reason not-ready and verdict NOT_RUN
    And the answer's header retry-after is 1
    When the configuration with 500 tokens for workspace ward is applied as version 1
    Then version 1 is in force on n1 and n1
    When a caller sends POST /v1/workspaces/ward/completions to n1 with body '{"prompt":"x"}'
    Then the answer has status 503, reason no-endpoint and verdict NOT_RUN
    When a caller sends a prompt of 1200000 characters to n1
    Then the answer has status 413, reason body-too-large and verdict NOT_RUN
