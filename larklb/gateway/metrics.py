"""A limiter's figures in the Prometheus text format, for whoever scrapes the process itself.

Imported with the first scrape alone, as importing the library takes longer than any request may wait.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import define
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")
BYTES = "_bytes"  # ends the names of message counts that count bytes
GAUGES = (
    ("larklb_ready", "1 if the limiter takes clients.", "ready", 1.0),
    ("larklb_leaving", "1 if the limiter is ending in order.", "leaving", 1.0),
    ("larklb_uptime_seconds", "Time since the limiter's start.", "upMs", 1e-3),
    ("larklb_configuration_version", "Version of the configuration in force, 0 for none.", "version", 1.0),
)

Answers = Mapping[str, Mapping[str, Any]]  # the status call ``counts``, by node


def gauge(
    name: str, text: str, labels: tuple[str, ...], rows: Iterable[tuple[tuple[str, ...], float]]
) -> GaugeMetricFamily:
    """A family of gauges from ``rows`` of label values and value, in the order of the labels."""
    family = GaugeMetricFamily(name, text, labels=labels)
    for values, value in sorted(rows):
        family.add_metric(values, float(value))
    return family


def families(answers: Answers) -> Iterable[Metric]:
    """What limiters answered to the status call ``counts``, each sample labelled with its ``node``."""
    for name, text, key, scale in GAUGES:
        yield gauge(name, text, ("node",), [((node,), told[key] * scale) for node, told in answers.items()])
    events = CounterMetricFamily(
        "larklb_events", "Requests and what became of them, by event.", labels=("node", "event")
    )
    words = CounterMetricFamily(
        "larklb_words", "Messages between limiters, by what became of them.", labels=("node", "event")
    )
    size = CounterMetricFamily(
        "larklb_word_bytes", "Bytes of messages between limiters, by event.", labels=("node", "event")
    )
    for node, told in sorted(answers.items()):
        for event, count in sorted(told["counts"].items()):
            events.add_metric((node, event), count)
        for event, count in sorted(told["words"].items()):
            family = size if event.endswith(BYTES) else words
            family.add_metric((node, event.removesuffix(BYTES)), count)
    yield from (events, words, size)
    yield gauge(
        "larklb_open_connections",
        "Connections now, by who is at the other end.",
        ("node", "peer"),
        [((node, peer), count) for node, told in answers.items() for peer, count in told["open"].items()],
    )


@define(eq=False)  # the registry keeps it as a key
class _Answered(Collector):
    answers: Answers

    def collect(self) -> Iterable[Metric]:
        return families(self.answers)


def exposition(node: str, told: Mapping[str, Any]) -> bytes:
    """The text that a scrape of ``node`` gets; ``told``: its answer to the status call ``counts``."""
    registry = CollectorRegistry()
    registry.register(_Answered({node: told}))
    return generate_latest(registry)
