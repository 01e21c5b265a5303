"""The KServe v2 inference protocol over gRPC. Imported only where an operator's file asks for it."""
