"""Owns the disk: generations of dbm.dumb files and their syncs; never knows what it stores."""
