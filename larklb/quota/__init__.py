"""Quotas of customers: plan versions, reservations, token buckets, shares and settlement.

Limiters and gateways are the same processes.  A *reservation* is a number of units set aside in advance for a
customer (``reservations.py``); the *reserve* is the margin by which a share of a quota may grow
(``shares.py``).  A *bucket copy* is what a limiter knows of a bucket that another limiter owns
(``records.Copy``).  The modules do no input or output.  Time is passed in as milliseconds on the decision
module's clock.  State that must survive a restart leaves as an action (``interface.RecordDraw``) and is
handed in at the start.
"""
