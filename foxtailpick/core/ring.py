"""Multi-probe consistent hashing with weighted endpoints.

Each endpoint owns points on the ring in proportion to its capacity. A key
has several probes; the score of an endpoint is the shortest clockwise
distance from any probe to any of its points, and the lowest score comes
first. The score depends on the key and the endpoint alone, so the removal
of an endpoint moves only its own keys. Several probes balance the key
ranges: a long gap before a point is seldom the shortest distance.
"""

import array
import bisect
import heapq
import math
import typing

import xxhash

POINTS_PER_CAPACITY = 64
PROBES = 4

_SLOT_BITS = 16
_MAX_SLOTS = 1 << _SLOT_BITS
_POSITION_BITS = 64 - _SLOT_BITS
_RING_SIZE = 1 << _POSITION_BITS
_POSITION_MASK = _RING_SIZE - 1
_SLOT_MASK = _MAX_SLOTS - 1
_HALF_DIGEST_BITS = 64


class Ring:
    """The hash ring of a pool of endpoints.

    A point is one 64-bit number, so that one sorted array holds all: its
    position is in the upper 48 bits, the slot of its owner in the lower 16.

    :param points_per_capacity: number of points of an endpoint of capacity 1.
    :param probes: number of probes per key.
    """

    def __init__(
        self,
        points_per_capacity: int = POINTS_PER_CAPACITY,
        probes: int = PROBES,
    ) -> None:
        self._points_per_capacity = points_per_capacity
        self._probes = probes
        self._points = array.array('Q')
        self._owners: list[str | None] = []
        self._free_slots: list[int] = []
        self._slots: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._slots)

    def __contains__(self, owner: str) -> bool:
        return owner in self._slots

    def add(self, owner: str, capacity: float) -> None:
        """Add an owner, or change the capacity of a present one.

        :param owner: the endpoint.
        :param capacity: its relative capacity, above zero.
        :raises ValueError: if the capacity is not above zero, or if the
            ring has no free slot.
        """
        count = self._count_points(capacity)
        if owner in self._slots:
            if self._slots[owner][1] == count:
                return
            self.remove(owner)
        slot = self._allocate_slot(owner)
        self._slots[owner] = (slot, count)
        added = _list_points(owner, count, slot)
        if len(added) * 8 < len(self._points):
            for point in added:
                bisect.insort(self._points, point)
        else:
            # One merge: insertion would shift the tail of the array once
            # per point while a ring is being filled.
            merged = sorted([*self._points, *added])
            self._points = array.array('Q', merged)

    def add_many(self, capacities: typing.Mapping[str, float]) -> None:
        """Add new owners with a single sort.

        :param capacities: relative capacity by owner.
        """
        points = list(self._points)
        for owner, capacity in capacities.items():
            count = self._count_points(capacity)
            slot = self._allocate_slot(owner)
            self._slots[owner] = (slot, count)
            points.extend(_list_points(owner, count, slot))
        points.sort()
        self._points = array.array('Q', points)

    def remove(self, owner: str) -> None:
        """Remove an owner; an unknown one is ignored.

        :param owner: the endpoint.
        """
        if owner not in self._slots:
            return
        slot, count = self._slots.pop(owner)
        for point in _list_points(owner, count, slot):
            index = bisect.bisect_left(self._points, point)
            del self._points[index]
        self._owners[slot] = None
        self._free_slots.append(slot)

    def walk(self, key: str) -> typing.Iterator[str]:
        """Yield every owner once, in order of rising score for the key.

        :param key: the chat.
        """
        points = self._points
        size = len(points)
        if not size:
            return
        heap = [
            self._make_heap_entry(
                bisect.bisect_left(points, probe << _SLOT_BITS), probe
            )
            for probe in _list_probes(key, self._probes)
        ]
        heapq.heapify(heap)
        seen: set[int] = set()
        owner_count = len(self._slots)
        while len(seen) < owner_count:
            _distance, index, probe = heap[0]
            slot = points[index] & _SLOT_MASK
            heapq.heapreplace(heap, self._make_heap_entry(index + 1, probe))
            if slot not in seen:
                seen.add(slot)
                yield self._owners[slot]

    def _make_heap_entry(self, index: int, probe: int) -> tuple[int, int, int]:
        if index >= len(self._points):
            index = 0
        position = self._points[index] >> _SLOT_BITS
        return ((position - probe) & _POSITION_MASK, index, probe)

    def _count_points(self, capacity: float) -> int:
        if not capacity > 0:
            raise ValueError(
                f'expected a capacity above 0, got {capacity}; '
                f'omit endpoints without capacity'
            )
        return max(1, round(self._points_per_capacity * capacity))

    def _allocate_slot(self, owner: str) -> int:
        if self._free_slots:
            slot = self._free_slots.pop()
            self._owners[slot] = owner
            return slot
        if len(self._owners) == _MAX_SLOTS:
            raise ValueError(
                f'expected at most {_MAX_SLOTS} endpoints in a pool; '
                f'split the service'
            )
        self._owners.append(owner)
        return len(self._owners) - 1


def rank_by_rendezvous(
    key: str, capacities: typing.Mapping[str, float]
) -> list[str]:
    """Rank a few owners by weighted rendezvous hashing, best first.

    :param key: the chat.
    :param capacities: relative capacity by owner, above zero.
    """
    return sorted(
        capacities,
        key=lambda owner: _score_rendezvous(key, owner, capacities[owner]),
    )


def _score_rendezvous(key: str, owner: str, capacity: float) -> float:
    digest = xxhash.xxh3_64_intdigest(f'{key}\0{owner}'.encode())
    # The offset of 0.5 keeps the logarithm finite for a digest of 0.
    return -math.log((digest + 0.5) / 2.0**64) / capacity


def _list_points(owner: str, count: int, slot: int) -> list[int]:
    return [
        (_hash_position(f'{owner}\0{number}') << _SLOT_BITS) | slot
        for number in range(count)
    ]


def _hash_position(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode()) >> _SLOT_BITS


def _list_probes(key: str, count: int) -> list[int]:
    digest = xxhash.xxh3_128_intdigest(key.encode())
    first = digest & _POSITION_MASK
    stride = (digest >> _HALF_DIGEST_BITS) & _POSITION_MASK | 1
    return [(first + stride * i) & _POSITION_MASK for i in range(count)]
