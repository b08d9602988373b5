"""The platform's protocol on sockets: HTTP, peer datagrams, custody connections and the console."""
