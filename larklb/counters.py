"""Event counters of the process."""

from __future__ import annotations

import json
from collections import Counter


class Counters:
    """Counters with dotted names, such as ``taken.http`` or ``answered.refused``."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Adds ``amount`` to a counter."""
        self.counts[name] += amount

    def __getitem__(self, name: str) -> int:
        return self.counts[name]

    def as_json(self) -> str:
        """Returns the name of the instance and all counters, sorted, as JSON."""
        return json.dumps({"name": self.name, "counts": dict(sorted(self.counts.items()))})
