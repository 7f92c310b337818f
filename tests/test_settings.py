import hashlib

import pytest

from banyanshed import addresses
from banyanshed import exceptions
from banyanshed import settings
from tests import conftest

EXAMPLES = conftest.ROOT / "examples"


def read_example(name):
    return (EXAMPLES / name).read_text(encoding="utf-8")


def places(text):
    with pytest.raises(exceptions.InvalidSettings) as caught:
        settings.load(text)
    return {(f.place, f.code) for f in caught.value.findings}, caught.value


@pytest.mark.parametrize(
    ("name", "region"),
    [("halvorsen.yaml", "sask"), ("kagit-kanat.yaml", "marmara")],
)
def test_examples_load(name, region):
    loaded = settings.load(read_example(name))
    assert (loaded.region, loaded.store_region) == (region, region)
    token = f"replace-me-{name.removesuffix('.yaml')}-token"
    assert hashlib.sha256(token.encode()).hexdigest() in loaded.operators


def test_all_findings_come_together_with_line_and_field():
    text = read_example("halvorsen.yaml")
    text = text.replace("127.0.0.1:8101", "localhost:8101")
    text = text.replace("timeout_s: 1.5", "timeout_s: -1")
    text = text.replace("threads: 32", "thread: 32\nhost: again")
    found, _ = places(text)
    assert found == {
        ("line 5, field caller_address", "value_error"),
        ("line 13, field platform.timeout_s", "greater_than"),
        ("line 27, field thread", "extra_forbidden"),
        ("line 28, field host", "duplicate_field"),
    }


@pytest.mark.parametrize(
    ("old", "new", "code"),
    [
        ("poll_interval_s: 1", "poll_interval_s: 4", "value_error"),
        ("lease_s: 7200", "lease_s: .inf", "finite_number"),
        ("max_key_age_s: 4", "max_key_age_s: 5", "less_than"),
        ("peer_address: 127.0.0.1:8201", "", "missing"),
        ("8201", "8101", "value_error"),
        ("host: sask-a-1", "host: [", "yaml"),
        ("host: sask-a-1", "host: 2026-99-99", "yaml"),
    ],
)
def test_bad_settings_are_refused(old, new, code):
    found, _ = places(read_example("halvorsen.yaml").replace(old, new))
    assert code in {code for _, code in found}


@pytest.mark.parametrize("text", ["", "- a", "a: &x [*x]", "a: *y", "? [a]"])
def test_text_that_is_not_a_settings_document_is_refused(text):
    assert places(text)[0]


@pytest.mark.parametrize(
    "secret", ["s3cr3t", "*s3cr3t-s3cr3t-s3cr3t", "[s3cr3t]", "s3cr3t-" * 4]
)
def test_secret_never_shows(secret):
    text = read_example("halvorsen.yaml").replace(
        "replace-me-halvorsen-fleet", secret
    )
    try:
        shown = repr(settings.load(text))
    except exceptions.InvalidSettings as error:
        shown = str(error)
    assert "s3cr3t" not in shown


@pytest.mark.parametrize(
    ("address", "parts"),
    [("127.0.0.1:80", ("127.0.0.1", 80)), ("[::1]:8080", ("::1", 8080))],
)
def test_split_address(address, parts):
    assert addresses.parse(address) == parts


@pytest.mark.parametrize("address", ["::1:80", "1.2.3.4", "1.2.3.4:0", "h:1"])
def test_split_address_refuses(address):
    with pytest.raises(ValueError):
        addresses.parse(address)
