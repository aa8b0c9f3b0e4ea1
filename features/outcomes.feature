Feature: Every answer is whole, the caller's own, and true
  Each caller gets the whole answer to its own request or an error, and an error says truly whether
  the request was run.

  Scenario: Retries do not amplify an outage
    Given a catalogue network with 2 daemons and 2 back ends in each region
    When half of the back ends answer every request with an error
    And callers of zone "nl-noord-1" send 300 searches
    Then the back ends were asked at most 1.1 times for each request

  Scenario: Answers cut in the middle are never passed on as whole
    Given a catalogue network with 2 daemons and 2 back ends in each region
    When back ends cut 30% of their answers
    And callers of every zone send 40 requests of every service
    Then no answer is wrong or taken for whole though it was cut
    And no request ran more than once unless it may be repeated
    And every request reported as not run was not run

  Scenario: Callers that give up leave nothing behind for the next caller
    Given a catalogue network with 2 daemons and 2 back ends in each region
    When 60 callers send searches of 500 ms and close their connections after 100 ms
    And callers of every zone send 40 requests of every service
    Then every request is answered by a back end

  Scenario: A full queue refuses at once, truly, and says when to come back
    Given a catalogue network with 2 daemons and 1 back end in each region
    When 260 searches of 2000 ms arrive at once at one daemon
    Then some requests are refused
    And every refusal has a time to come back
    And refusals for a full queue took less than 1 second
    And every request reported as not run was not run
    And no back end was given more work than its slots

  Scenario: Hostile input gets an answer or a close, and no daemon is harmed
    Given a catalogue network with 2 daemons and 1 back end in each region
    When hostile bytes are sent to a daemon's callers' port
    Then every hostile connection was answered or closed without a stack trace
    When callers of every zone send 5 requests of every service
    Then every request is answered by a back end
