"""Routing, placement and health decisions of a host.

The modules do no input or output and read no clocks; times and random
numbers are passed in.
"""
