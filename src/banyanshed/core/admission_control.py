"""Admission of requests by service, key and tenant's rate; performs no I/O."""

from banyanshed import settings as settings_module
from banyanshed.core import configuration
from banyanshed.core import events
from banyanshed.core import freshness
from banyanshed.core import leases
from banyanshed.core import models
from banyanshed.core import problems
from banyanshed.core import requests
from banyanshed.core import rows

# Times in seconds after which a refused request may be retried: when this host
# can't tell which keys are withdrawn, when it holds no share of the limits, and
# when it is leaving.
STALE_KEYS_RETRY_AFTER_S = 2.0
NO_SHARE_RETRY_AFTER_S = 1.0
NO_SHARE_CODE = "no_share"
LEAVING_RETRY_AFTER_S = 0.5


class AdmissionControl:
    """Checks that every request must pass before it is placed.

    Attributes:
        closed: The host is leaving and admits no further requests.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        config: configuration.Configuration,
        shares: leases.ShareHolder,
        config_freshness: freshness.Freshness,
    ):
        """Creates the checks.

        Args:
            settings: Settings of this host.
            config: Configuration in force: services and keys.
            shares: Shares of tenants' rates.
            config_freshness: Tracks whether the known keys are recent enough
                to be used.
        """
        self.settings = settings
        self.config = config
        self.shares = shares
        self.freshness = config_freshness
        self.closed = False

    def admit(
        self, event: events.RequestArrived, now_s: float
    ) -> events.Admitted | models.Refusal:
        """Admits a request and charges its tenant, or returns the refusal."""
        request = event.request
        service = self.config.services.get(request.service)
        if service is None:
            return problems.refuse(
                404, "no_such_service", "There is no such service."
            )
        if self.closed:
            return problems.refuse(
                503,
                "leaving",
                "This host is leaving; look up another.",
                LEAVING_RETRY_AFTER_S,
            )
        tenant = self.authenticate(service, request, now_s)
        if isinstance(tenant, models.Refusal):
            return tenant
        refusal = self.charge(tenant, now_s)
        if refusal is not None:
            return refusal
        time_limit_s = min(request.deadline_s, service.deadline_s)
        return events.Admitted(
            request.request_id,
            tenant,
            min(service.answer_bytes, self.settings.answer_limit_bytes),
            event.arrived_s + time_limit_s,
        )

    def authenticate(
        self,
        service: rows.ServiceRow,
        request: requests.CallerRequest,
        now_s: float,
    ) -> models.TenantId | None | models.Refusal:
        """Returns the tenant of the key, or the refusal.

        Returns None for a request without a key if the service is open to all.
        """
        if request.key_digest is None:
            if service.open_to_all:
                return None
            return problems.refuse(
                401, "no_key", "Send a key as Authorization: Bearer KEY."
            )
        if not self.freshness.keys_usable(now_s):
            return problems.refuse(
                503,
                "stale_keys",
                "This host can't tell which keys are withdrawn; try another.",
                STALE_KEYS_RETRY_AFTER_S,
            )
        key = self.config.keys.get(request.key_digest)
        if key is None:
            return problems.refuse(401, "bad_key", "The key is not valid.")
        return models.TenantId(key.tenant)

    def charge(
        self, tenant: models.TenantId | None, now_s: float
    ) -> models.Refusal | None:
        """Takes a token of the tenant's rate, or returns the refusal.

        A tenant of None is not charged.
        """
        if tenant is None:
            return None
        admission = self.shares.admit(now_s, tenant)
        if admission.admitted:
            return None
        if not self.has_share(tenant, now_s):
            return problems.refuse(
                503,
                NO_SHARE_CODE,
                "This host holds no share of the limits now; try another.",
                NO_SHARE_RETRY_AFTER_S,
            )
        return problems.refuse(
            429,
            "rate_limited",
            "The tenant's rate and burst are used up.",
            admission.retry_after_s,
        )

    def has_share(self, tenant: models.TenantId, now_s: float) -> bool:
        """Returns whether this host may admit any of the tenant's requests."""
        held = self.shares.tenants.get(tenant)
        if held is None or held.bucket.burst < 1:
            return False
        return self.shares.valid(now_s)
