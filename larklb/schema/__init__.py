"""Owns the schema: the operator's configuration as a document and as typed values, its checks, amendments and
digests, routing by it, and the calls' OpenAPI file; it must never touch a socket, a disk or a clock."""
