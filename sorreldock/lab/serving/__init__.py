"""The models on loopback sockets: HTTP/1.1 and gRPC, for real routers and clients (trio)."""
