Feature: The whole path
  Callers ask any daemon which one to use, send it their requests, and back ends answer them.

  Scenario: Requests of every service are answered, each with its own answer
    Given a catalogue network with 2 daemons and 2 back ends in each region
    When callers of every zone send 20 requests of every service
    Then every request is answered by a back end
    And no request ran more than once

  Scenario: A drain reaches every daemon and no new work goes there
    Given a catalogue network with 2 daemons and 2 back ends in each region
    When an operator commands "drain zone nl-noord-1"
    Then the change is in force on every daemon
    When 1 seconds pass
    And callers of every zone send 20 requests of every service
    Then every request is answered by a back end
    And no back end of zone "nl-noord-1" began work in the last 1 seconds
