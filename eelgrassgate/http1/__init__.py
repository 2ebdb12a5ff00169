"""HTTP/1.1 server and client connections, using h11 over anyio streams."""
