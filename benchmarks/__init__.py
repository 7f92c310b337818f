"""Measurements of the product beside plain baselines."""
