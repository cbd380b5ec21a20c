"""HTTP over twisted: the server side, the client side and shared replies."""
