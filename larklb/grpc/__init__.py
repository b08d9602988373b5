"""The gRPC rate limit service: a second front, imported only when it is set up."""
