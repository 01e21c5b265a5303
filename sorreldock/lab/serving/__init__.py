"""The lab's models on loopback sockets, with HTTP/1.1 and gRPC, for real routers and clients (trio)."""
