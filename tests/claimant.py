"""Program that sends one request through the ledger, pausing before a step.

Arguments: platform, backend server (each "IP:port"), idempotency key, the
step before which it pauses ("send", "record" or "none"), seconds to the
deadline.
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
    result = ledger.claim(tenant, request, float(time_left_s))
    if isinstance(result, claims.Claim):
        pause_before("send")
        if claims.may_send(result, time.monotonic()):
            answer = urllib3.request(
                "POST",
                f"http://{backend}/seats",
                headers={"Idempotency-Key": key},
                retries=False,
            )
            pause_before("record")
            response = requests.Answer(answer.status, {}, answer.data)
            ledger.record(result, response)
            print("answered", flush=True)
        else:
            ledger.release(result)
            print("released", flush=True)
    elif isinstance(result, requests.Answer):
        print("answered", flush=True)
    else:
        print(result.code, result.ran.value, flush=True)
    assert ledger.flush() == 0


if __name__ == "__main__":
    main()
