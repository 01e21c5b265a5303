"""KServe v2 and gRPC on the wire, without I/O: what the router, the client library and the lab share."""
