Feature: Daemons learn of each other's death, return and replacement

  Scenario: A daemon that is killed and started again at once is a new member, the old one dead
    Given a catalogue network with 2 daemons and 1 back end in each region
    When daemon "nl-midden-1" is killed and started again
    Then within 15 seconds every daemon knows 6 live members, "nl-midden-1" once among them

  Scenario: A frozen daemon is given up, learns of it when it thaws, and is a member again
    Given a catalogue network with 2 daemons and 1 back end in each region
    When daemon "nl-zuid-2" is frozen
    Then within 15 seconds the other daemons know 5 live members
    When daemon "nl-zuid-2" thaws
    Then within 15 seconds every daemon knows 6 live members, "nl-zuid-2" once among them
    And the time line of all daemons tells that "nl-zuid-2" was dead and is serving again
