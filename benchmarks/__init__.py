"""Measurements by hand: each script has --quick and prints its figures last."""
