"""The gRPC rate limit service, a second front end that is imported only when it is enabled."""
