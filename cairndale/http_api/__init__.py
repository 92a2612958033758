"""HTTP API for operators, servers and clients: routes and server."""
