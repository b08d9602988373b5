"""What the module asks about quotas: plan versions, reservations, buckets; it never does input or output.

Time is an argument: milliseconds on the module's clock.  What has to survive a restart leaves as an action
(``interface.Drawn``) or is handed in at the start.
"""
