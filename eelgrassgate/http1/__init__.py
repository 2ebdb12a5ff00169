"""HTTP/1.1 on both sides of the gateway, by h11 over anyio streams."""
