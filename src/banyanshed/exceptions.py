"""Exceptions of banyanshed; each has a stable code.

An entry host is a host that accepts callers' requests and forwards them to
backend servers. Peers are the other entry hosts of the same fleet.
"""

from collections.abc import Sequence
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyanshed.core import models


class BanyanshedError(Exception):
    """Base class of all banyanshed exceptions.

    Attributes:
        code: Stable code in lower case with underscores; shown to users.
    """

    code = "error"


@dataclasses.dataclass(frozen=True)
class Finding:
    """One validation error in a file, a row or an edit.

    Attributes:
        place: Where the error is in the input, for example "row 3, column
            weight".
        code: Stable code of the error.
        message: What is wrong and what is expected.
    """

    place: str
    code: str
    message: str

    def __str__(self) -> str:
        """Returns the finding as one human-readable line."""
        return f"{self.place}: {self.message} [{self.code}]"


class InvalidInput(BanyanshedError):
    """An input was rejected as a whole; reports all findings together."""

    code = "invalid_input"

    def __init__(self, findings: Sequence[Finding]):
        """Creates an error from all findings, in the order to report them."""
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class InvalidSettings(InvalidInput):
    """A settings file is invalid."""

    code = "invalid_settings"


class PlatformError(BanyanshedError):
    """Base class of errors of calls to the platform's services.

    Reads of the platform's tables from a peer, instead of the store, raise the
    same errors. More subclasses are in platform.store and platform.wire.
    """

    code = "platform_error"


class StoreUnavailable(PlatformError):
    """The request was not sent or not accepted; nothing took effect.

    Also raised for an edit that lost the race against concurrent edits in all
    attempts, and for reads that failed, for example because a peer's response
    could not be decoded.
    """

    code = "store_unavailable"


class StoreTimeout(PlatformError):
    """No valid response arrived; a write may or may not have taken effect."""

    code = "store_timeout"


class ConditionFailed(PlatformError):
    """A transaction's condition failed; nothing took effect.

    Attributes:
        rows: The stored rows whose conditions did not hold.
    """

    code = "condition_failed"

    def __init__(self, rows: "Sequence[models.TableRow]"):
        """Creates an error from the rows whose conditions did not hold."""
        super().__init__(", ".join(row.key for row in rows))
        self.rows = tuple(rows)


class PeerError(BanyanshedError):
    """A peer is unreachable or violated the protocol."""

    code = "peer_error"


class LookupFailed(BanyanshedError):
    """None of the entry hosts that were asked answered the look-up."""

    code = "lookup_failed"


class RequestRefused(BanyanshedError):
    """The request got no response of a backend server.

    Attributes:
        status: HTTP status; 0 if no entry host responded.
        ran: Whether the request was executed: "no" or "unknown".
        retry_after_s: Seconds to wait before a retry; None if a retry is of
            no use.
    """

    code = "refused"

    def __init__(
        self, status: int, code: str, ran: str, retry_after_s: float | None
    ):
        """Creates an error from the fields of a problem document."""
        super().__init__(f"{code} (status {status}, ran: {ran})")
        self.status = status
        self.code = code
        self.ran = ran
        self.retry_after_s = retry_after_s


class PeerUnreachable(PeerError):
    """Connecting to a peer failed, or the connection was lost."""

    code = "peer_unreachable"


class PeerBackoff(PeerError):
    """An earlier connection failed and the back-off has not expired."""

    code = "peer_backoff"


class PeerTimeout(PeerError):
    """A peer did not respond in time, or too many calls are pending."""

    code = "peer_timeout"


class PeerVersionMismatch(PeerError):
    """A peer uses another protocol version."""

    code = "peer_version"


class PeerNotProved(PeerError):
    """Mutual authentication of this host and a peer failed.

    Both prove that they know the fleet secret, which is set on all entry
    hosts. Either the peer's proof is wrong, or the peer rejected this host's.
    """

    code = "peer_not_proved"


class PeerMalformed(PeerError):
    """A peer's message is malformed."""

    code = "peer_malformed"
