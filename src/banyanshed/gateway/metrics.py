"""Prometheus metrics of an entry host."""

import prometheus_client

from banyanshed.steering import health
from banyanshed.steering import models

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Metrics:
    """Counters and histograms of one host."""

    def __init__(self) -> None:
        """Registers all metrics in a separate registry."""
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "banyanshed_requests",
            "Requests by how they ended.",
            ("service", "ending", "status"),
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            "banyanshed_attempts",
            "Attempts at backend servers by their outcome.",
            ("service", "outcome"),
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Counter(
            "banyanshed_store_calls",
            "Calls of the platform's store.",
            ("call", "result"),
            registry=self.registry,
        )
        self.dropped_servers = prometheus_client.Counter(
            "banyanshed_servers_gone",
            "Backend servers that were dropped, by cause.",
            ("cause",),
            registry=self.registry,
        )
        self.kept_servers = prometheus_client.Counter(
            "banyanshed_servers_kept",
            "Backend servers that were kept without their entry, by reason.",
            ("reason",),
            registry=self.registry,
        )
        self.server_limits = prometheus_client.Counter(
            "banyanshed_server_limits",
            "Responses that changed a server's known rate limit, by change.",
            ("change",),
            registry=self.registry,
        )

        self.statements = prometheus_client.Counter(
            "banyanshed_server_statements",
            "News that servers gave of their life cycle beside their rows.",
            ("statement",),
            registry=self.registry,
        )

        self.server_endings = prometheus_client.Counter(
            "banyanshed_server_endings",
            "Requests lost with their connection, by whether the server ended.",
            ("service", "result"),
            registry=self.registry,
        )

        self.judgements = prometheus_client.Counter(
            "banyanshed_request_judgements",
            "Judgements of requests that may crash servers, by change.",
            ("change",),
            registry=self.registry,
        )

        # The longest part of the page comes last: collectors may cut it.
        self.seconds = prometheus_client.Histogram(
            "banyanshed_request_seconds",
            "Time from a request's head to its final answer.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def count_request(
        self,
        service: models.ServiceName | str,
        ending: object,
        status: int,
        elapsed_s: float,
    ) -> None:
        """Counts a finished request and observes its duration."""
        name = getattr(ending, "value", str(ending))
        self.requests.labels(service, name, str(status)).inc()
        self.seconds.labels(service).observe(elapsed_s)

    def count_attempt(
        self, service: models.ServiceName, outcome: health.Outcome
    ) -> None:
        """Counts a finished attempt."""
        self.attempts.labels(service, outcome.value).inc()

    def count_store_call(self, call: str, result: str) -> None:
        """Counts a call to the store."""
        self.store_calls.labels(call, result).inc()

    def count_dropped_server(self, cause: str) -> None:
        """Counts a backend server that was dropped."""
        self.dropped_servers.labels(cause).inc()

    def count_kept_server(self, reason: str) -> None:
        """Counts a backend server that was kept without its entry."""
        self.kept_servers.labels(reason).inc()

    def count_lost_request(
        self, service: models.ServiceName, result: str
    ) -> None:
        """Counts a request that was lost with its connection."""
        self.server_endings.labels(service, result).inc()

    def count_judgement(self, change: str) -> None:
        """Counts a change of the judgement of a request."""
        self.judgements.labels(change).inc()

    def count_server_limit(self, change: str) -> None:
        """Counts a response that changed a backend server's rate limit."""
        self.server_limits.labels(change).inc()

    def count_statement(self, statement: str) -> None:
        """Counts news of a backend server's life cycle."""
        self.statements.labels(statement).inc()

    def encode(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
