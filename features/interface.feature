Feature: The interfaces are as their documents say

  Scenario: The OpenAPI document is served and every path answers as it says
    Given a catalogue network with 2 daemons and 1 back end in each region
    Then every daemon serves its OpenAPI document
    And every documented answer of a daemon has the documented form

  Scenario: The command line checks, asks, commands and shows the time line
    Given a catalogue network with 2 daemons and 1 back end in each region
    Then "check" of a faulty file prints every finding with its line and ends with 2
    And "query show classes" prints a table and ends with 0
    And "query show nonsense" names the column and what was expected and ends with 2
    And "command drain zone nl-zuid-1 --dry-run" changes nothing and ends with 0
    And "command drain zone nl-zuid-1" is in force everywhere and ends with 0
    And "command drain zone nowhere" says which zones there are and ends with 1
    And "timeline" tells of the drain on every daemon and ends with 0

  Scenario: A daemon refuses to start on faulty settings, naming each finding
    When a daemon is started on faulty settings
    Then it ends with 2 and prints every finding with its line
