"""Plays loads against the steering decisions on simulated time.

For choosing among ways to place requests in seconds, and for fleets that are
larger than a machine can start. Nothing here runs in production.
"""
