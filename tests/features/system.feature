Feature: The whole system on loopback
  Three control ingresses, two data-plane ingresses and stand-in servers as real processes; what is judged is what
  the servers wrote down that they ran, and what clients were told.

  Background:
    Given a system of 3 control and 2 data-plane ingresses with 2 servers of each service

  Scenario: A configuration, requests, a drain and a kill
    When the first configuration is sent to all control ingresses at once
    Then each that answers acknowledges it, and it is read back as it was sent
    And both data-plane ingresses say that they are ready
    When clients send 40 requests that may be repeated and 40 that may not
    Then every one is served, and ran once
    And servers saw the tenant of each key, and no key
    When a server of "books" says that it is draining and is heard
    And clients send 40 requests that may not be repeated
    Then every one is served, and none of these reached the one that drains
    When the leader is killed
    And clients send 20 requests that may be repeated and 20 that may not
    Then every one is served, and ran once
    When a route is added by an update
    Then it is acknowledged and served at both data-plane ingresses
    When the killed one comes back with an empty disk and other seeds
    Then it is a member of the core again
    And nothing was broken

  Scenario: Ingresses that start while there is no core
    Given the first configuration is in force
    When the whole core is killed
    Then clients are still told where to go, and are served there
    When the data-plane ingresses start again
    And the core comes back once they have asked in vain
    Then both data-plane ingresses say that they are ready
    When clients send 10 requests that may be repeated and 10 that may not
    Then every one is served, and ran once

  Scenario: What is asked wrongly
    Given the first configuration is in force
    Then these requests are answered so, and none of them runs:
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
    And a tenant named by the client is not believed
    And these calls are refused and change nothing:
      | method | call                | body             | status | told                  |
      | POST   | Config.Replace      | {"gen": 99       | 400    | not JSON              |
      | POST   | Config.Replace      | []               | 400    | no JSON object        |
      | POST   | Config.Update       | {"gen":1}        | 400    | parent                |
      | POST   | Instances.Heartbeat/i | {}             | 400    | addr                  |
      | POST   | Drain.Begin/nowhere |                  | 404    | no zone               |
      | GET    | Config.Undo         |                  | 404    | no such call          |
      | GET    | Config.Replace      |                  | 405    | only POST             |
    And a zone that two operators evacuate is used again once both have taken it back
    And of two changes on the same version one wins, and the one that won is acknowledged again

  Scenario: Servers that are in trouble
    Given the first configuration is in force
    When the servers of "tiles" send a second answer after each
    Then 30 requests on one connection each get their own answer
    When the servers of "books" break off their answers
    Then a request that may not be repeated gets 502, and ran once
    When the servers of "books" turn all away
    Then a request that may not be repeated gets 503, and never ran
    When the servers of "books" answer in chunks
    Then a body in chunks comes back whole
    And nothing was broken

  Scenario: A data-plane ingress stops in order
    Given the first configuration is in force
    When the servers of "books" take half a second
    And a data-plane ingress is told to stop while requests are under way there
    Then all of them are answered in full, and clients are no longer sent there
    And nothing was broken
