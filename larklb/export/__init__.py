"""Metering of use: it is counted in a log, sealed into batches and delivered to a billing receiver.

Each use is billed exactly once.  ``tally.py`` decides what is counted (without input or output),
``ledger.py`` stores it and ``exporter.py`` delivers it.  Nothing here may delay a request
for longer than one turn of the event loop.
"""
