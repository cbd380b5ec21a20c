"""HTTP on Twisted: the server, the clients and shared error replies."""
