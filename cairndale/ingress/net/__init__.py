"""The ingress in service: sockets, HTTP/1.1 and connection pools around the request policy."""
