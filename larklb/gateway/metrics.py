"""Metrics of a limiter in the Prometheus text format, for scrapes of the process itself.

This module is imported with the first scrape only, as importing the library takes longer than a request may
wait.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import define
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")
# Suffix of the message counters that count bytes.
BYTES = "_bytes"
GAUGES = (
    ("larklb_ready", "1 if the limiter takes clients.", "ready", 1.0),
    ("larklb_leaving", "1 if the limiter is ending in order.", "leaving", 1.0),
    ("larklb_uptime_seconds", "Time since the limiter's start.", "upMs", 1e-3),
    ("larklb_configuration_version", "Version of the configuration in force, 0 for none.", "version", 1.0),
    ("larklb_ring_limiters", "Limiters on the ring that finds the owners of tenants.", "ringLimiters", 1.0),
    ("larklb_ring_digest", "The same at limiters that hold the same ring.", "ringDigest", 1.0),
)

# Answers to the status call ``counts``, by node.
Answers = Mapping[str, Mapping[str, Any]]


def gauge(
    name: str, text: str, labels: tuple[str, ...], rows: Iterable[tuple[tuple[str, ...], float]]
) -> GaugeMetricFamily:
    """Returns a family of gauges; ``rows`` holds label values, in the order of ``labels``, and the value."""
    family = GaugeMetricFamily(name, text, labels=labels)
    for values, value in sorted(rows):
        family.add_metric(values, float(value))
    return family


def families(answers: Answers) -> Iterable[Metric]:
    """Yields the metrics of limiters from their answers, each sample labelled with its ``node``."""
    for name, text, key, scale in GAUGES:
        yield gauge(
            name,
            text,
            ("node",),
            # Limiters of an earlier version lack some keys.
            [((node,), answer[key] * scale) for node, answer in answers.items() if key in answer],
        )
    events = CounterMetricFamily(
        "larklb_events", "Requests and what became of them, by event.", labels=("node", "event")
    )
    messages = CounterMetricFamily(
        "larklb_words", "Messages between limiters, by what became of them.", labels=("node", "event")
    )
    sizes = CounterMetricFamily(
        "larklb_word_bytes", "Bytes of messages between limiters, by event.", labels=("node", "event")
    )
    for node, answer in sorted(answers.items()):
        for event, count in sorted(answer["counts"].items()):
            events.add_metric((node, event), count)
        for event, count in sorted(answer["words"].items()):
            family = sizes if event.endswith(BYTES) else messages
            family.add_metric((node, event.removesuffix(BYTES)), count)
    yield from (events, messages, sizes)
    yield gauge(
        "larklb_open_connections",
        "Connections now, by who is at the other end.",
        ("node", "peer"),
        [((node, peer), count) for node, answer in answers.items() for peer, count in answer["open"].items()],
    )


# Collectors are hashed by identity, as the registry uses them as keys.
@define(eq=False)
class _AnswerCollector(Collector):
    answers: Answers

    def collect(self) -> Iterable[Metric]:
        return families(self.answers)


def exposition(node: str, answer: Mapping[str, Any]) -> bytes:
    """Returns the text of a scrape of ``node`` from its answer to the status call ``counts``."""
    registry = CollectorRegistry()
    registry.register(_AnswerCollector({node: answer}))
    return generate_latest(registry)
