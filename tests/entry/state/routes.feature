Feature: Routes
  Guards against requests that are sent to a service of another route.

  Scenario Outline: The route with the longest prefix of the path is chosen
    Given the routes "/a/ /a/b/ /a/b/c/ /" of "h.example"
    Then the path "<path>" of "<host>" has the route "<route>"

    Examples:
      | host      | path       | route   |
      | h.example | /a/x       | /a/     |
      | h.example | /a/b/x     | /a/b/   |
      | h.example | /a/b/c/d/e | /a/b/c/ |
      | h.example | /a/bc/d    | /a/     |
      | h.example | /a         | /       |
      | h.example | /a/b       | /a/     |
      | i.example | /a/b       | none    |

  Scenario: Without a route for the root, unmatched paths have no route
    Given the routes "/a/ /a/b/" of "h.example"
    Then the path "/c/d" of "h.example" has the route "none"
    And the path "" of "h.example" has the route "none"
