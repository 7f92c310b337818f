"""Runs soaks from the command line.

.venv/bin/python -m tests.soak --first=1 --count=50 --length_s=12
.venv/bin/python -m tests.soak --first=1 --count=1 --large
"""

import asyncio
import pathlib
import sys
import tempfile

from absl import flags

from tests.soak import runner

FLAGS = flags.FlagValues()
FIRST = flags.DEFINE_integer("first", 1, "First seed.", flag_values=FLAGS)
COUNT = flags.DEFINE_integer("count", 10, "Number of seeds.", flag_values=FLAGS)
LENGTH_S = flags.DEFINE_float(
    "length_s",
    12.0,
    "Faults begin within this many seconds.",
    flag_values=FLAGS,
)
LARGE = flags.DEFINE_boolean(
    "large",
    False,
    "Run enough hosts for gossip relays between regions.",
    flag_values=FLAGS,
)
LOGS = flags.DEFINE_string(
    "logs",
    None,
    "Folder in which logs and settings are kept.",
    flag_values=FLAGS,
)


def main():
    """Runs the seeds; returns 1 if any violated an invariant."""
    FLAGS(sys.argv)
    size = runner.LARGE if LARGE.value else None
    failed = []
    for seed in range(FIRST.value, FIRST.value + COUNT.value):
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if LOGS.value is not None:
                folder = pathlib.Path(LOGS.value) / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            soak = runner.run_seed(seed, LENGTH_S.value, folder, size)
            result = asyncio.run(soak)
        kinds = " ".join(fault.kind for fault in result.faults)
        print(
            f"seed {seed}: {result.served} of {result.requests} served,"
            f" {len(result.violations)} violations; {kinds}",
            flush=True,
        )
        for line in result.violations[:10]:
            print(f"  {line}")
        if result.violations:
            failed.append(seed)
    print(f"failed seeds: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
