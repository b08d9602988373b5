"""What the program took in, sent and answered, by kind."""

from __future__ import annotations

import json
from collections import Counter


class Counters:
    """Counts under dotted names, such as ``taken.http`` or ``answered.refused``."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def __getitem__(self, name: str) -> int:
        return self.counts[name]

    def as_json(self) -> str:
        return json.dumps({"name": self.name, "counts": dict(sorted(self.counts.items()))})
