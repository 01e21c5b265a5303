"""The KServe v2 inference protocol over gRPC; imported only if the operator's file configures it."""
