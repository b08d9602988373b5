"""Linearizability checker for a day of the control side, based on the answers to its callers alone.

The configuration is a compare-and-set register: an order on base version B writes its version if B is
current. Each call has a start and, if it got a final answer, an end. The version found by the last read,
followed back through the base of each order, gives the sequence of all writes. The history is linearizable if
each write and each answer can be assigned a moment within its call at which it was true.
"""

from __future__ import annotations

import math

from attrs import define, field


class InvariantViolationError(AssertionError):
    """An invariant of the control side doesn't hold."""


@define
class Order:
    """A configuration change. All its attempts together are one call in the history."""

    name: str
    base: int
    version: int
    body: str
    begin: float
    acknowledged: float = math.inf  # time of the first 200; math.inf without one
    refused: float = math.inf


@define(frozen=True)
class Read:
    """A completed read: the version found (0: none), its order, and the start and end of the call."""

    version: int
    order: str
    begin: float
    end: float


@define
class History:
    """All calls of a day and their answers."""

    orders: dict[str, Order] = field(factory=dict)
    reads: list[Read] = field(factory=list)

    def acknowledge(self, order: Order, now: float) -> None:
        """Records a 200 for the order.

        Raises:
            InvariantViolationError: It was refused, or another order on its base was acknowledged.
        """
        if order.refused < math.inf:
            raise InvariantViolationError(f"{order.name} was refused, and is acknowledged")
        for other in self.orders.values():
            if other.base == order.base and other is not order and other.acknowledged < math.inf:
                raise InvariantViolationError(
                    f"{other.name} and {order.name} on version {order.base} are acknowledged"
                )
        order.acknowledged = min(order.acknowledged, now)

    def refuse(self, order: Order, now: float) -> None:
        """Records a 412 for the order.

        Raises:
            InvariantViolationError: It was acknowledged.
        """
        if order.acknowledged < math.inf:
            raise InvariantViolationError(f"{order.name} was acknowledged, and is refused")
        order.refused = min(order.refused, now)

    def newest_acknowledged(self, before: float = math.inf) -> int:
        """Returns the newest version acknowledged before this time, or 0."""
        return max((o.version for o in self.orders.values() if o.acknowledged < before), default=0)

    def check(self, last: Read) -> None:
        """Checks that the history is linearizable, given the read at its end.

        Raises:
            InvariantViolationError: It isn't.
        """
        chain = self._write_chain(last)
        chain_names = {order.name for order in chain}
        for order in self.orders.values():
            if order.acknowledged < math.inf and order.name not in chain_names:
                raise InvariantViolationError(f"{order.name} was acknowledged, and is lost")
            if order.refused < math.inf and order.name in chain_names:
                raise InvariantViolationError(f"{order.name} was refused, and is in force")
        position_by_version = {order.version: index for index, order in enumerate(chain)}
        earliest = [order.begin for order in chain]
        latest = [order.acknowledged for order in chain]
        for read in [*self.reads, last]:
            self._bound_by_read(read, chain, position_by_version, earliest, latest)
        for order in self.orders.values():
            if order.refused < math.inf:
                self._bound_by_refusal(order, position_by_version, latest)
        moment = -math.inf
        for order, begin, end in zip(chain, earliest, latest, strict=True):
            moment = max(moment, begin)
            if moment > end:
                raise InvariantViolationError(
                    f"no moment at which {order.name} became current fits all answers"
                )

    def _write_chain(self, last: Read) -> list[Order]:
        by_version: dict[tuple[int, str], Order] = {(o.version, o.name): o for o in self.orders.values()}
        chain: list[Order] = []
        version, name = last.version, last.order
        while version:
            order = by_version.get((version, name))
            if order is None:
                raise InvariantViolationError(f"version {version} was never sent")
            chain.append(order)
            version = order.base
            if version:
                candidates = [
                    o for o in self.orders.values() if o.version == version and o.refused == math.inf
                ]
                preferred = [o for o in candidates if o.acknowledged < math.inf] or candidates
                if not preferred:
                    raise InvariantViolationError(
                        f"version {version}, which {order.name} builds on, was never taken"
                    )
                name = preferred[0].name
        return chain[::-1]

    @staticmethod
    def _bound_by_read(
        read: Read,
        chain: list[Order],
        position_by_version: dict[int, int],
        earliest: list[float],
        latest: list[float],
    ) -> None:
        index = position_by_version.get(read.version, -1)
        if read.version and (index < 0 or chain[index].name != read.order):
            raise InvariantViolationError(
                f"a read found {read.order} as version {read.version}, which was never current"
            )
        if index >= 0:
            latest[index] = min(latest[index], read.end)
        if index + 1 < len(chain):
            earliest[index + 1] = max(earliest[index + 1], read.begin)

    @staticmethod
    def _bound_by_refusal(order: Order, position_by_version: dict[int, int], latest: list[float]) -> None:
        index = position_by_version.get(order.base, -1 if order.base == 0 else None)
        if index is None:
            return  # its base was never current
        if index + 1 >= len(latest):
            raise InvariantViolationError(
                f"{order.name} was refused, and its base {order.base} was current all the while"
            )
        latest[index + 1] = min(latest[index + 1], order.refused)
