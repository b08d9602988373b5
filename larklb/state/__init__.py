"""What outlives a process: logs of checksummed records in a folder that one process holds at a time.

It knows bytes and files; what the records say is their owners' concern.
"""
