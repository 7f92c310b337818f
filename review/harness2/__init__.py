"""Stand-ins of the second independent review, and what its scripts share."""
