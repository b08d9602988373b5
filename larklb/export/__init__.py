"""Use to the outside: counted in a log, sealed into batches, brought to a billing receiver once and only
once.

What is counted is decided in ``tally.py`` (no input or output); ``ledger.py`` keeps it on the disk and
``exporter.py`` brings it out.  Nothing here may hold up a request longer than one turn of the loop.
"""
