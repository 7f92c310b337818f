"""Program that books once through the ledger and pauses between two steps.

Arguments: platform, backend server (each "IP:port"), idempotency key, the
step before which it pauses ("send", "record" or "none"), time left in seconds.
"""

import sys
import time

import urllib3

from banyanshed.core import claims
from banyanshed.core import models
from banyanshed.core import requests
from banyanshed.edges import ledger as ledgers
from banyanshed.edges import objects
from banyanshed.edges import tables
from tests import fakes


def pause_before(step):
    if sys.argv[4] == step:
        print(f"listening {step}", flush=True)
        sys.stdin.readline()


def main():
    platform, backend, key, _, time_left_s = sys.argv[1:]
    ledger = ledgers.Ledger(
        tables.HttpTable(platform), objects.HttpObjectStore(platform)
    )
    request = fakes.make_request(key)
    tenant = models.TenantId("club")
    held = ledger.claim(tenant, request, float(time_left_s))
    if isinstance(held, claims.Claim):
        pause_before("send")
        if claims.may_send(held, time.monotonic()):
            answer = urllib3.request(
                "POST",
                f"http://{backend}/seats",
                headers={"Idempotency-Key": key},
                retries=False,
            )
            pause_before("record")
            held_answer = requests.Answer(answer.status, {}, answer.data)
            ledger.record(held, held_answer)
            print("answered", flush=True)
        else:
            ledger.release(held)
            print("released", flush=True)
    elif isinstance(held, requests.Answer):
        print("answered", flush=True)
    else:
        print(held.code, held.ran.value, flush=True)
    assert ledger.flush() == 0


if __name__ == "__main__":
    main()
