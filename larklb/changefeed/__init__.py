"""Change feed: a table whose rows have revisions, and the changes since a given revision.

The package orders changes; it doesn't interpret the contents of rows.
"""
