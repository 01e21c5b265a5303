"""KServe v2 and gRPC wire formats, without I/O, shared by the router, the client library and the lab."""
