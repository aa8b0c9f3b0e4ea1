Feature: A request that may not be repeated runs at most once
  Whatever fails, the back ends' own count of every such request is one at most, and every answer
  says truly whether the request was run.

  Scenario: Repeats at once, at every daemon, get the one answer
    Given a catalogue network with 2 daemons and 1 back end in each region
    When 24 callers send transfer "hold-1" at once, at every daemon, under one key
    Then transfer "hold-1" ran 1 time
    And every caller got the same answer
    When transfer "hold-1" is repeated at every daemon
    Then transfer "hold-1" ran 1 time
    And every caller got the same answer

  Scenario: A killed home takes its keys with it
    Given a catalogue network with 2 daemons and 1 back end in each region
    When transfer "hold-2" is sent to its home and answered
    And its home is killed
    And transfer "hold-2" is repeated at every other daemon
    Then transfer "hold-2" ran 1 time
    And every answer is "unknown" with a time to come back

  Scenario: A frozen home is waited for and never replaced
    Given a catalogue network with 2 daemons and 1 back end in each region
    When transfer "hold-3" is sent to its home and answered
    And its home is frozen
    And transfer "hold-3" is repeated at every other daemon
    Then transfer "hold-3" ran 1 time
    And every answer is "unknown"
    When its home thaws
    And transfer "hold-3" is repeated at its home
    Then transfer "hold-3" ran 1 time
    And every answer is "answered"

  Scenario: A home frozen with new keys under way runs them once when it thaws
    Given a catalogue network with 2 daemons and 1 back end in each region
    When its home is frozen
    And transfer "hold-4" is repeated at every other daemon
    And its home thaws
    And transfer "hold-4" is repeated at every daemon
    Then transfer "hold-4" ran at most 1 time

  Scenario: A partition between home and the others
    Given a catalogue network behind proxies with 2 daemons and 1 back end in each region
    When the home's region is cut from the others
    And transfer "hold-5" is repeated at every other daemon
    Then transfer "hold-5" ran at most 1 time
    And some answer is "unknown"
    When the network heals
    And transfer "hold-5" is repeated at its home
    Then transfer "hold-5" ran 1 time

  Scenario: An outage of the platform stops no request with a home token
    Given a catalogue network with 2 daemons and 1 back end in each region
    When the platform is down
    And transfer "hold-6" is sent to its home and answered
    Then transfer "hold-6" ran 1 time
    When transfer "hold-7" is sent without a home token
    Then transfer "hold-7" ran 0 times
    And every answer is "unknown" with code "claim-failed"

  Scenario: A claim whose answer was lost still makes one home
    Given a catalogue network with 2 daemons and 1 back end in each region
    When the platform loses the answer of the next write
    And 12 callers send transfer "hold-8" at once, at every daemon, without a home token
    Then transfer "hold-8" ran 1 time
    And every caller got the same answer

  Scenario: A connection that breaks after a byte left is never followed by a second try
    Given a catalogue network with 2 daemons and 1 back end in each region
    When every back end breaks connections after running a request
    And 12 different transfers are sent
    Then no transfer ran more than once
    And every answer is "unknown"

  Scenario Outline: The network resets connections to back ends after <bytes> bytes
    Given a catalogue network with 2 daemons and proxies before its back ends
    When the proxies reset connections after <bytes> bytes
    And 12 different transfers are sent
    Then no transfer ran more than once
    And every answer is "unknown"

    Examples:
      | bytes |
      | 1     |
      | 150   |
      | 300   |

  Scenario: Keys that are forged, expired or used for another request are refused
    Given a catalogue network with 2 daemons and 1 back end in each region
    When a transfer is sent with a forged home token
    Then every answer is "not-run" with code "idempotency-key-invalid"
    When a transfer is sent with an expired home token
    Then every answer is "unknown" with code "key-expired"
    When a key is used for two different transfers
    Then every answer is "not-run" with code "idempotency-key-reused"
