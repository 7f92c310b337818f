"""Wire encoding of configuration deltas exchanged by hosts."""

import json
import zlib

from banyanshed import exceptions
from banyanshed.core import configuration
from banyanshed.core import models

MAX_DELTA_BYTES = 256 << 20
COMPRESSION = 1


def encode(delta: configuration.ConfigDelta) -> bytes:
    """Returns a delta as compressed JSON."""
    content = {
        "base": delta.base,
        "version": delta.version,
        "rows": [[row.key, row.version, row.value] for row in delta.rows],
    }
    encoded = json.dumps(content, separators=(",", ":")).encode()
    return zlib.compress(encoded, COMPRESSION)


def decode(content: bytes) -> configuration.ConfigDelta:
    """Decodes a delta.

    Raises:
        exceptions.PeerError: If the delta is malformed or larger than
            MAX_DELTA_BYTES when expanded.
    """
    try:
        decompressor = zlib.decompressobj()
        expanded = decompressor.decompress(content, MAX_DELTA_BYTES)
        if not decompressor.eof:
            raise ValueError("truncated or too large")
        decoded = json.loads(expanded)
        rows = [
            models.TableRow(str(key), int(version), value)
            for key, version, value in decoded["rows"]
        ]
        return configuration.ConfigDelta(
            models.ConfigVersion(int(decoded["base"])),
            models.ConfigVersion(int(decoded["version"])),
            tuple(rows),
        )
    except (ValueError, KeyError, TypeError, zlib.error) as error:
        raise exceptions.PeerError(f"malformed delta: {error}") from None
