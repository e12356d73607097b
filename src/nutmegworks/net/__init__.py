"""HTTP/1.1 by h11 over curio sockets: server, connection and pool."""
