"""Durations in the platform's notation: a number with the unit ms or s."""

# Longest time for which a backend server is taken to be cold, in seconds.
MAX_COLD_S = 86_400.0


def decode(text: str) -> float:
    """Decodes a duration such as "1500ms" or "2.5s" into seconds.

    Raises:
        ValueError: The text is not a valid duration.
    """
    if not isinstance(text, str):
        raise ValueError(f"expected a duration string, not {text!r}")
    if text.endswith("ms"):
        seconds = float(text[:-2]) / 1000.0
    elif text.endswith("s"):
        seconds = float(text[:-1])
    else:
        raise ValueError(f"duration without the unit ms or s: {text!r}")
    if not 0.0 <= seconds < float("inf"):
        raise ValueError(f"duration out of range: {text!r}")
    return seconds
