"""Quotas of customers: plan versions, reservations, token buckets, shares and settlement.

The modules do no input or output.  Time is passed in as milliseconds on the decision module's clock.  State
that must survive a restart leaves as an action (``interface.RecordDraw``) and is handed in at the start.
"""
