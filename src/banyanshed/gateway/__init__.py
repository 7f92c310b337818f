"""The entry host process, which runs one event loop on one thread.

It receives callers' requests, forwards them to backend servers as
`banyanshed.steering` decides, and keeps the data for these decisions up to
date.
"""
