"""HTTP API of operators, servers and clients: routes and server."""
