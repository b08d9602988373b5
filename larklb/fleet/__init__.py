"""What limiters decide together: how they pace their words, whom each sends to, what one tells the others.

Events in, answers out, time as an argument; nothing here reads a clock, a socket or a file."""
