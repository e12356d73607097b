"""HTTP/1.1 server, client and connection pool on h11 and curio."""
