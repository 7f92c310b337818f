"""Prometheus metrics of a daemon."""

import prometheus_client

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Telemetry:
    """Metrics of one daemon, in their own registry."""

    def __init__(self) -> None:
        """Registers all metrics."""
        self.registry = prometheus_client.CollectorRegistry()
        self.lookups = self._counter("lookups", "Look-ups answered.")
        self.answers = self._counter(
            "answers", "Whole answers of backend servers.", "service"
        )
        self.refusals = self._counter(
            "refusals", "Refused requests.", "service", "code", "ran"
        )
        self.platform_errors = self._counter(
            "platform_errors", "Failed platform calls.", "call", "code"
        )
        self.transactions = self._counter(
            "table_transactions", "Table transactions.", "purpose"
        )
        self.latency = prometheus_client.Histogram(
            "banyanshed_request_seconds",
            "Time from a request's head to its final answer.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.config_version = self._gauge(
            "config_version", "Version of the configuration in force."
        )
        self.config_age = self._gauge(
            "config_age_seconds", "Age of the configuration's confirmation."
        )
        self.in_flight = self._gauge("in_flight", "Requests at work.")
        self.waiting = self._gauge("waiting", "Requests waiting for a unit.")
        self.retries = self._gauge(
            "retries", "Attempts after the first, since the start."
        )
        self.peers = self._gauge("peers", "Peers by state.", "state")

    def encode(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _counter(
        self, name: str, documentation: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"banyanshed_{name}",
            documentation,
            labels,
            registry=self.registry,
        )

    def _gauge(
        self, name: str, documentation: str, *labels: str
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"banyanshed_{name}",
            documentation,
            labels,
            registry=self.registry,
        )
