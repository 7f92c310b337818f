"""Discrete-event simulation of the steering decisions under load.

Compares placement policies within seconds, and simulates fleets that are
larger than one machine can run. Nothing here runs in production.
"""
