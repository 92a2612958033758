Feature: The whole system on loopback
  Three control nodes, two data-plane ingresses and stand-in servers run as real processes. The checks use the
  servers' records of the requests that they ran, and the responses that clients received.

  Background:
    Given a system of 3 control nodes and 2 data-plane ingresses with 2 servers of each service

  Scenario: A configuration, requests, a drain and a kill
    When the first configuration is sent to all control nodes at once
    Then each of them acknowledges it, and it is read back as it was sent
    And both data-plane ingresses are ready
    When clients send 40 idempotent and 40 non-idempotent requests
    Then every request is served, and ran once
    And servers received the tenant of each key, but no key
    When a server of "books" reports that it is draining, and all ingresses know it
    And clients send 40 non-idempotent requests
    Then every request is served, and none of them reached the draining server
    When the leader is killed
    And clients send 20 idempotent and 20 non-idempotent requests
    Then every request is served, and ran once
    When a route is added by an update
    Then it is acknowledged and served at both data-plane ingresses
    When the killed node restarts with an empty disk and other seeds
    Then it is a member of the control cluster again
    And no guarantee was violated

  Scenario: Ingresses restart while there is no leader
    Given the first configuration is in force
    When all control nodes are killed
    Then clients can still look up ingresses, and are served there
    When the data-plane ingresses restart
    And the control nodes restart after the ingresses have failed to find a leader
    Then both data-plane ingresses are ready
    When clients send 10 idempotent and 10 non-idempotent requests
    Then every request is served, and ran once

  Scenario: Invalid requests and calls
    Given the first configuration is in force
    Then these requests are answered with an error, and none of them runs:
      | method | path      | host             | key          | status |
      | GET    | /tiles/1  | a.example        |              | 401    |
      | GET    | /tiles/1  | a.example        | KEY-OF-NORTH | 401    |
      | GET    | /tiles/1  | b.example        | key-of-north | 404    |
      | GET    | /tiles    | a.example        | key-of-north | 404    |
      | GET    | /x/tiles/ | a.example        | key-of-north | 404    |
    And these requests are served:
      | method | path      | host             | key          |
      | GET    | /tiles/1  | A.EXAMPLE:8080   | key-of-north |
      | GET    | /open/1   | a.example        |              |
      | POST   | /books/1  | a.example        | key-of-south |
    And a tenant named by the client is ignored
    And these calls are rejected and change nothing:
      | method | call                | body             | status | error                 |
      | POST   | Config.Replace      | {"gen": 99       | 400    | not JSON              |
      | POST   | Config.Replace      | []               | 400    | not a JSON object     |
      | POST   | Config.Update       | {"gen":1}        | 400    | parent                |
      | POST   | Instances.Heartbeat/i | {}             | 400    | addr                  |
      | POST   | Drain.Begin/nowhere |                  | 404    | no zone               |
      | GET    | Config.Undo         |                  | 404    | no such call          |
      | GET    | Config.Replace      |                  | 405    | only POST             |
    And a zone that two operators evacuate is used again once both have finished the drain
    And of two changes of the same version one is accepted, and is acknowledged again on a retry

  Scenario: Faulty servers
    Given the first configuration is in force
    When the servers of "tiles" send a second response after each
    Then 30 requests on one connection each get their own response
    When the servers of "books" truncate their responses
    Then a non-idempotent request gets 502, and ran once
    When the servers of "books" reject all requests
    Then a non-idempotent request gets 503, and never ran
    When the servers of "books" answer in chunks
    Then a chunked body is echoed completely
    And no guarantee was violated

  Scenario: A data-plane ingress shuts down gracefully
    Given the first configuration is in force
    When the servers of "books" take half a second
    And a data-plane ingress is stopped while it has requests in flight
    Then all of them are answered completely, and clients are no longer sent there
    And no guarantee was violated
