Feature: Planned stops and drains cut nothing

  Scenario: Every daemon is stopped and started in turn under mixed load
    Given a catalogue network with 2 daemons and 2 back ends in each region
    When mixed load with uploads runs while every daemon is stopped and started in turn
    Then no request was lost, cut, doubled or misreported
    And at most 2% of the requests were refused

  Scenario: The successor of a stopped daemon answers for its keys
    Given a catalogue network with 2 daemons and 1 back end in each region
    When transfer "hold-1" is sent to its home and answered
    And its home is stopped as planned
    And transfer "hold-1" is repeated at every other daemon
    Then transfer "hold-1" ran 1 time
    And every answer is "answered"
    When transfer "hold-2" is repeated at every other daemon
    Then transfer "hold-2" ran 1 time
    And every answer is "answered"

  Scenario: The machine list says, late, that a back end is leaving
    Given a catalogue network with 2 daemons and 2 back ends in each region
    When the machine list lags by 1 seconds
    And mixed load runs while back end "search-1" is listed as leaving
    Then back end "search-1" began no work later than 3 seconds after the list said so
    And no request was lost, cut, doubled or misreported

  Scenario Outline: A <scope> is drained under load
    Given a catalogue network with 2 daemons and 2 back ends in each region
    When mixed load runs while an operator commands "drain <scope> <name>"
    Then the drained back ends began no work later than 3 seconds after the command
    And no request was lost, cut, doubled or misreported

    Examples:
      | scope   | name       |
      | backend | search-1   |
      | zone    | nl-noord-1 |
      | region  | nl-midden  |

  Scenario: A holder that was frozen sends nothing on grants that have lapsed
    Given a catalogue network with 3 daemons and 2 back ends in each region
    When mixed load runs while daemon "nl-noord-2" is frozen for 6 seconds
    Then no back end was given more work than its slots
    And no request ran more than once unless it may be repeated
