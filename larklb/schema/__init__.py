"""The operator's configuration: document format, typed and validated view, amendments, digests and routing.

It also contains the paths and bodies of the HTTP calls, with their OpenAPI description. The package does no
input or output and reads no clock.
"""
