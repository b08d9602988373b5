"""The platform's protocol on sockets."""
