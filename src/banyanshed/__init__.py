"""Banyanshed steers traffic between regions without spare capacity."""

__version__ = "0.1.0"
