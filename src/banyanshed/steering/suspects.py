"""Requests that end the backend servers which run them.

A request may crash each server that begins to run it, and comes again under
another id, at any host. A single host sees few of these crashes, and other
requests that were in flight at the same server are lost as well. So the hosts
tell each other which requests were in flight at a server whose process ended,
and each decides alike from the evidence of all:

- A request is refused once it was in flight at three endings since a server
  last bore it, and in more of them than any other request that was lost with
  it. One that servers have borne before must have been in flight at three
  endings apart from each other: many servers may end at one moment, as when a
  rack loses power.
- After some time, one request of all hosts together is let through. If a server
  bears it, no more are refused; if it ends another server, the time grows.

Requests are told apart by a hash of what a server gets of them, so that neither
keys nor bodies are kept. Times are in seconds of one monotonic clock, which
callers pass as `now`.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import enum
import math

from banyanshed.steering import models

# Endings after which a request is refused.
ENDINGS_TO_REFUSE = 3
# Endings within this time may have one cause, in seconds. It also tells apart
# two endings of one process entry, whose restart is not known yet.
SAME_MOMENT_S = 0.1
SAME_PROCESS_S = 1.0
# Time in which peers report what else was in flight at an ending, in seconds.
# Until then, the requests that may be refused are held back.
SETTLE_S = 0.3
# How long after a change a suspect is judged again, in seconds.
JUDGED_S = 2.0
# How long an ending is remembered, in seconds.
EVIDENCE_S = 300.0
# Time until a refused request is tried for the first time, and the factor by
# which it grows with each try that ends a server.
FIRST_TRIAL_S = 15.0
TRIAL_GROWTH = 3.0
MAX_TRIAL_S = 900.0
MAX_GROWTHS = 10
# Time after which a host that claimed a trial without a result gives way.
CLAIM_S = 10.0
# Limits of what is kept and of what a report names.
MAX_SUSPECTS = 256
MAX_ENDINGS = 32
MAX_REPORTED_ENDINGS = 8
MAX_REPORTED = 8
# Evidence of one ending is reported for this long, in seconds.
REPORT_S = 3.0
# Limit on the requests that are remembered as borne by a server.
MAX_BORNE = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """The end of a server's process while it had a request.

    Attributes:
        process: Hash of the server's process.
        at: When it ended.
    """

    process: int
    at: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """What is known of a request that was in flight at an ending.

    Attributes:
        endings: The newest endings, oldest first.
        borne_at: When a server last answered it; minus infinity if never.
        refusals: Number of times that it was found to end servers.
        refused_at: When that was last found.
        claimed_at: When a host last claimed its trial.
        claimed_by: The host that claimed it.
        changed_at: When any of this last changed.
    """

    endings: list[Ending] = dataclasses.field(default_factory=list)
    borne_at: float = -math.inf
    refusals: int = 0
    refused_at: float = -math.inf
    claimed_at: float = -math.inf
    claimed_by: str = ""
    changed_at: float = -math.inf

    @property
    def is_refused(self) -> bool:
        """Whether it is refused, but for trials."""
        return self.refusals > 0 and self.borne_at < self.refused_at

    def trial_at(self) -> float:
        """Returns when it may be tried next."""
        # A report may name any number.
        growths = min(self.refusals - 1, MAX_GROWTHS)
        wait_s = min(MAX_TRIAL_S, FIRST_TRIAL_S * TRIAL_GROWTH**growths)
        return max(
            self.refused_at + wait_s,
            self.claimed_at + CLAIM_S,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """A host's report of a suspect, with ages in seconds instead of times.

    Attributes:
        fingerprint: Hash of the request.
        endings: Hashes of processes, and the ages of their ends.
        borne_age_s: Age of the last answer of a server; None if none is known.
        refusals: Number of times that it was found to end servers.
        refused_age_s: Age of the last of these; None if there is none.
        claimed_age_s: Age of the last claim of a trial; None if there is none.
        claimed_by: The host that claimed it.
    """

    fingerprint: models.Fingerprint
    endings: tuple[tuple[int, float], ...]
    borne_age_s: float | None
    refusals: int
    refused_age_s: float | None
    claimed_age_s: float | None
    claimed_by: str


class Change(enum.Enum):
    """How the judgement of a request changed.

    Attributes:
        SUSPECTED: It was in flight at another ending.
        REFUSED: It was found to end servers.
        BORNE: A server answered it, so that it is not refused any more.
    """

    SUSPECTED = "suspected"
    REFUSED = "refused"
    BORNE = "borne"


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """A change of the judgement of a request, for logs and metrics.

    Attributes:
        fingerprint: Hash of the request.
        change: How it changed.
        endings: Endings that count against it.
        refusals: Number of times that it was found to end servers.
    """

    fingerprint: models.Fingerprint
    change: Change
    endings: int
    refusals: int


class Suspects:
    """Requests that were in flight when servers ended, as known to one host.

    Attributes:
        own_host: This host.
        suspects: What is known by fingerprint, least recently changed first.
        borne: When a server last answered a request, by fingerprint, least
            recently answered first.
        news: Fingerprints of which peers should be told soon, oldest first.
    """

    def __init__(self, own_host: models.HostId):
        """Starts without suspects."""
        self.own_host = own_host
        self.suspects: dict[models.Fingerprint, Suspect] = {}
        self.borne: dict[models.Fingerprint, float] = {}
        self.news: dict[models.Fingerprint, None] = {}

    def is_suspected(self, fingerprint: models.Fingerprint) -> bool:
        """Returns whether a server has ended while it had the request."""
        return fingerprint in self.suspects

    def is_refused(self, fingerprint: models.Fingerprint) -> bool:
        """Returns whether the request is refused, but for trials."""
        suspect = self.suspects.get(fingerprint)
        return suspect is not None and suspect.is_refused

    def wait_s(self, fingerprint: models.Fingerprint, now: float) -> float:
        """Returns the seconds until a refused request may be tried."""
        return max(0.0, self.suspects[fingerprint].trial_at() - now)

    def pending_s(self, fingerprint: models.Fingerprint, now: float) -> float:
        """Returns the seconds until a request can be judged; 0 if it can."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or suspect.is_refused:
            return 0.0
        endings = _since_borne(suspect)
        if len(endings) < ENDINGS_TO_REFUSE:
            return 0.0
        decisive = endings[ENDINGS_TO_REFUSE - 1]
        return max(0.0, decisive.at + SETTLE_S - now)

    def claim_trial(self, fingerprint: models.Fingerprint, now: float) -> bool:
        """Claims the trial of a refused request; returns whether it is due.

        The claim counts after peers had time to hear of it, if `owns_trial`.
        """
        suspect = self.suspects[fingerprint]
        if now < suspect.trial_at():
            return False
        suspect.claimed_at = now
        suspect.claimed_by = self.own_host
        self._touch(fingerprint, suspect, now)
        return True

    def owns_trial(self, fingerprint: models.Fingerprint) -> bool:
        """Returns whether no other host has the claim of a trial."""
        suspect = self.suspects.get(fingerprint)
        return suspect is None or suspect.claimed_by == self.own_host

    def record_ending(
        self, fingerprint: models.Fingerprint, process: int, now: float
    ) -> list[Judgement]:
        """Records that a server's process ended while it had a request."""
        suspect = self._suspect(fingerprint)
        suspect.borne_at = max(
            suspect.borne_at, self.borne.get(fingerprint, -math.inf)
        )
        if not self._add_ending(suspect, Ending(process, now)):
            return []
        self._touch(fingerprint, suspect, now)
        return [
            self._describe(fingerprint, Change.SUSPECTED),
            *self._judge_trial(fingerprint, now),
        ]

    def record_answer(
        self, fingerprint: models.Fingerprint, now: float
    ) -> list[Judgement]:
        """Records that a server answered a request and lives on."""
        self.borne.pop(fingerprint, None)
        self.borne[fingerprint] = now
        if len(self.borne) > MAX_BORNE:
            del self.borne[next(iter(self.borne))]
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return []
        was_refused = suspect.is_refused
        counted = _since_borne(suspect)
        suspect.borne_at = now
        if counted:
            self._touch(fingerprint, suspect, now)
        if not was_refused:
            return []
        return [self._describe(fingerprint, Change.BORNE)]

    def report(self, now: float) -> list[SuspectReport]:
        """Returns what peers are told regularly.

        These are the newest suspects, those that were in flight at more than
        one ending, and those that are refused.
        """
        due = []
        for fingerprint, suspect in reversed(self.suspects.items()):
            is_recent = now - suspect.changed_at < REPORT_S
            is_repeated = len(_since_borne(suspect)) > 1
            if is_recent or is_repeated or suspect.is_refused:
                due.append(_encode(fingerprint, suspect, now))
        return due[:MAX_REPORTED]

    def take_news(self, now: float) -> list[SuspectReport]:
        """Returns what peers are to be told now; call again while it does."""
        taken = list(self.news)[:MAX_REPORTED]
        for fingerprint in taken:
            del self.news[fingerprint]
        return [
            _encode(fingerprint, self.suspects[fingerprint], now)
            for fingerprint in taken
            if fingerprint in self.suspects
        ]

    def report_all(self, now: float) -> list[SuspectReport]:
        """Returns what a host is told that has just started."""
        newest = list(reversed(self.suspects.items()))
        newest.sort(key=lambda item: not item[1].is_refused)
        return [
            _encode(fingerprint, suspect, now)
            for fingerprint, suspect in newest[:MAX_REPORTED]
        ]

    def apply_reports(
        self, reports: Iterable[SuspectReport], now: float
    ) -> list[Judgement]:
        """Applies what a peer reports."""
        judgements = []
        for report in reports:
            suspect = self._suspect(report.fingerprint)
            before = suspect.is_refused
            if self._merge(suspect, report, now):
                self._touch(report.fingerprint, suspect, now, is_own=False)
            if before and not suspect.is_refused:
                judgements.append(
                    self._describe(report.fingerprint, Change.BORNE)
                )
            elif suspect.is_refused and not before:
                judgements.append(
                    self._describe(report.fingerprint, Change.REFUSED)
                )
            judgements.extend(self._judge_trial(report.fingerprint, now))
        return judgements

    def judge(self, now: float) -> list[Judgement]:
        """Refuses the requests that the evidence of all hosts is against."""
        candidates = [
            fingerprint
            for fingerprint, suspect in self.suspects.items()
            if len(suspect.endings) >= ENDINGS_TO_REFUSE
            and not suspect.is_refused
            and now - suspect.changed_at < JUDGED_S
        ]
        if not candidates:
            return []
        evidence = _Evidence(self.suspects)
        return [
            self._refuse(fingerprint, now)
            for fingerprint in candidates
            if evidence.count(fingerprint, now) >= ENDINGS_TO_REFUSE
        ]

    def drop_expired(self, now: float) -> None:
        """Forgets suspects without recent endings that are not refused."""
        for fingerprint, suspect in list(self.suspects.items()):
            if suspect.is_refused or now - suspect.changed_at < EVIDENCE_S:
                continue
            self._drop(fingerprint)

    def _suspect(self, fingerprint: models.Fingerprint) -> Suspect:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            suspect = self.suspects[fingerprint] = Suspect()
        while len(self.suspects) > MAX_SUSPECTS:
            self._drop_oldest(fingerprint)
        return suspect

    def _drop_oldest(self, kept: models.Fingerprint) -> None:
        """Drops the oldest suspect, one that is not refused if possible."""
        candidates = [key for key in self.suspects if key != kept]
        for fingerprint in candidates:
            if not self.suspects[fingerprint].is_refused:
                self._drop(fingerprint)
                return
        self._drop(candidates[0])

    def _drop(self, fingerprint: models.Fingerprint) -> None:
        del self.suspects[fingerprint]
        self.news.pop(fingerprint, None)

    def _touch(
        self,
        fingerprint: models.Fingerprint,
        suspect: Suspect,
        now: float,
        is_own: bool = True,
    ) -> None:
        """Marks a suspect as changed and moves it to the end."""
        suspect.changed_at = now
        self.suspects.pop(fingerprint, None)
        self.suspects[fingerprint] = suspect
        if is_own:
            self.news[fingerprint] = None

    def _add_ending(self, suspect: Suspect, ending: Ending) -> bool:
        if any(_is_same(known, ending) for known in suspect.endings):
            return False
        suspect.endings.append(ending)
        suspect.endings.sort(key=lambda known: known.at)
        del suspect.endings[:-MAX_ENDINGS]
        return ending in suspect.endings

    def _merge(
        self, suspect: Suspect, report: SuspectReport, now: float
    ) -> bool:
        """Merges a peer's report; returns whether it brought anything new."""
        changed = False
        for process, age_s in report.endings:
            changed |= self._add_ending(suspect, Ending(process, now - age_s))
        own_borne_at = self.borne.get(report.fingerprint, -math.inf)
        suspect.borne_at = max(suspect.borne_at, own_borne_at)
        if report.borne_age_s is not None:
            suspect.borne_at = max(suspect.borne_at, now - report.borne_age_s)
        if report.refusals > suspect.refusals:
            suspect.refusals = report.refusals
            suspect.refused_at = now - (report.refused_age_s or 0.0)
            changed = True
        if report.claimed_age_s is not None:
            changed |= _merge_claim(
                suspect, now - report.claimed_age_s, report.claimed_by
            )
        return changed

    def _judge_trial(
        self, fingerprint: models.Fingerprint, now: float
    ) -> list[Judgement]:
        """Refuses a request for longer if a server ended in its trial."""
        suspect = self.suspects[fingerprint]
        if not suspect.is_refused or not _ended_in_trial(suspect):
            return []
        return [self._refuse(fingerprint, now)]

    def _refuse(self, fingerprint: models.Fingerprint, now: float) -> Judgement:
        suspect = self.suspects[fingerprint]
        suspect.refusals += 1
        suspect.refused_at = now
        suspect.changed_at = now
        self.news[fingerprint] = None
        return self._describe(fingerprint, Change.REFUSED)

    def _describe(
        self, fingerprint: models.Fingerprint, change: Change
    ) -> Judgement:
        suspect = self.suspects[fingerprint]
        count = len(_since_borne(suspect))
        return Judgement(fingerprint, change, count, suspect.refusals)


def _ended_in_trial(suspect: Suspect) -> bool:
    """Returns whether a server ended in a trial since the last refusal."""
    started_at = suspect.claimed_at
    if started_at < suspect.refused_at:
        return False
    return any(ending.at > started_at for ending in suspect.endings)


class _Evidence:
    """The endings of all suspects at one moment."""

    def __init__(self, suspects: Mapping[models.Fingerprint, Suspect]):
        self.suspects = suspects
        self.totals: dict[models.Fingerprint, int] = {}
        self.by_process: dict[int, list[tuple[models.Fingerprint, Ending]]] = {}
        for fingerprint, suspect in suspects.items():
            self.totals[fingerprint] = len(_since_borne(suspect))
            for ending in suspect.endings:
                lost = self.by_process.setdefault(ending.process, [])
                lost.append((fingerprint, ending))

    def count(self, fingerprint: models.Fingerprint, now: float) -> int:
        """Returns the endings that count against a request.

        An ending counts against the request that was in flight at most
        endings. Servers that end at one moment count once if servers have
        borne the request before.
        """
        suspect = self.suspects[fingerprint]
        count = 0
        last_at = -math.inf
        is_borne = suspect.borne_at > -math.inf
        for ending in _since_borne(suspect):
            if now - ending.at < SETTLE_S:
                continue
            if self._has_likelier_cause(fingerprint, ending):
                continue
            if is_borne and ending.at - last_at < SAME_MOMENT_S:
                continue
            last_at = ending.at
            count += 1
        return count

    def _has_likelier_cause(
        self, fingerprint: models.Fingerprint, ending: Ending
    ) -> bool:
        for other, known in self.by_process[ending.process]:
            if other == fingerprint or not _is_same(known, ending):
                continue
            if self.totals[other] >= self.totals[fingerprint]:
                return True
        return False


def _since_borne(suspect: Suspect) -> list[Ending]:
    """Returns the endings since a server last bore the request."""
    return [e for e in suspect.endings if e.at > suspect.borne_at]


def _is_same(first: Ending, second: Ending) -> bool:
    """Returns whether two reports are of the same end of a process."""
    if first.process != second.process:
        return False
    return abs(first.at - second.at) < SAME_PROCESS_S


def _merge_claim(suspect: Suspect, claimed_at: float, host: str) -> bool:
    """Merges a claim of a trial; of claims at one time the least host wins.

    Returns:
        Whether the claim is news.
    """
    later_s = claimed_at - suspect.claimed_at
    if host == suspect.claimed_by:
        is_news = later_s > SAME_MOMENT_S
    elif host < suspect.claimed_by:
        is_news = later_s > -CLAIM_S
    else:
        is_news = later_s > CLAIM_S
    if not is_news:
        return False
    suspect.claimed_at = claimed_at
    suspect.claimed_by = host
    return True


def _encode(
    fingerprint: models.Fingerprint, suspect: Suspect, now: float
) -> SuspectReport:
    return SuspectReport(
        fingerprint,
        tuple(
            (ending.process, now - ending.at)
            for ending in suspect.endings[-MAX_REPORTED_ENDINGS:]
        ),
        _age_s(suspect.borne_at, now),
        suspect.refusals,
        _age_s(suspect.refused_at, now),
        _age_s(suspect.claimed_at, now),
        suspect.claimed_by,
    )


def _age_s(at: float, now: float) -> float | None:
    """Returns the age of something; None if it never happened."""
    return None if at == -math.inf else max(0.0, now - at)
