Feature: Accepted configuration is in force everywhere within seconds and never reverts

  Scenario: Two operators command different changes at the same moment
    Given a catalogue network with 2 daemons and 1 back end in each region
    When two operators at different daemons command 8 rounds of conflicting changes at once
    Then every accepted change is recorded and none was silently overwritten
    And every refused operator was told what changed
    And every daemon has the same revision within 5 seconds

  Scenario: The answer to a write is lost
    Given a catalogue network with 2 daemons and 1 back end in each region
    When the platform loses the answer of the next write
    And an operator commands "drain zone nl-zuid-2"
    Then the change is in force on every daemon
    And the command is recorded once

  Scenario: A command repeated under its id takes effect once
    Given a catalogue network with 2 daemons and 1 back end in each region
    When an operator commands under id "same-id": drain zone nl-zuid-2
    And an operator commands under id "same-id": drain zone nl-zuid-2
    Then the command is recorded once

  Scenario: The platform goes down right after a change and a daemon restarts in the outage
    Given a catalogue network with 2 daemons and 1 back end in each region
    When an operator commands "drain zone nl-zuid-2"
    And the platform is down
    And daemon "nl-midden-1" is killed and started again
    Then every daemon has the same revision within 5 seconds
    When an operator tries to command "drain zone nl-zuid-1"
    Then the operator is told that nothing was written
    When the platform is up again
    And an operator commands "drain zone nl-zuid-1"
    Then the change is in force on every daemon

  Scenario: A frozen daemon is named, and catches up when it thaws
    Given a catalogue network with 2 daemons and 1 back end in each region
    When daemon "nl-zuid-2" is frozen
    And an operator commands "drain zone nl-noord-2"
    Then the operator is told that daemon "nl-zuid-2" has not confirmed
    When daemon "nl-zuid-2" thaws
    Then every daemon has the same revision within 5 seconds

  Scenario: A region cut off is named, and catches up when the network heals
    Given a catalogue network behind proxies with 2 daemons and 1 back end in each region
    When region "nl-zuid" is cut from the others and from the platform
    And an operator commands "drain zone nl-noord-2"
    Then the operator is told that daemon "nl-zuid-1" has not confirmed
    And the operator is told that daemon "nl-zuid-2" has not confirmed
    When 8 seconds pass
    And the network heals
    Then every daemon has the same revision within 15 seconds
    And within 15 seconds every daemon knows 6 live members, "nl-zuid-1" once among them

  Scenario: A slow and rate-limiting platform delays a change but does not lose it
    Given a catalogue network with 2 daemons and 1 back end in each region
    When the platform answers after 300 ms and takes 3 calls a second
    And an operator commands "drain zone nl-zuid-2"
    Then the change is in force on every daemon
    And the command is recorded once

  Scenario: The platform's calls stay within its budget
    Given a catalogue network with 4 daemons and 1 back end in each region
    When 5 seconds pass
    And the platform's calls are counted for 5 seconds
    Then the platform is called at most 20 times a second and written to at most 1 time a second
