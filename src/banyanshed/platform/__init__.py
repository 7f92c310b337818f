"""Adapter to the users' platform: names, formats and calls.

It makes no decisions. Messages are decoded once into the product's own types.
"""
