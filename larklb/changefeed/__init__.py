"""Journal of events in memory, and the table with revisions that is folded from it (gauge: where the level
is read).

It owns the order of changes and who has seen how many; it must never know what its rows mean.
"""
