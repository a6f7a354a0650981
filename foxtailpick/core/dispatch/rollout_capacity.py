"""Whether the endpoints of a new version bear the load of a service.

Load pattern: the endpoints of the new version start beside the old ones, are
cold for a while, may be fewer or may crash, while the load has peaks. Once
the roll-out is completed, the old endpoints stop at once.
"""

import dataclasses

# The new endpoints bear the load if they have about the slots of the old ones,
# or at least a part of them, of which the peak of the load takes this share.
EQUAL_SLOT_SHARE = 0.9
MIN_SLOT_SHARE = 0.5
USABLE_SLOT_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Endpoints of both versions.

    :param new: warm endpoints of the new version.
    :param old_slots: slots of the old ones.
    :param new_slots: slots of the warm new ones.
    :param load: requests at both, the peak of the last seconds.
    """

    new: int = 0
    old_slots: int = 0
    new_slots: int = 0
    load: float = 0.0

    @property
    def is_enough(self) -> bool:
        """Whether the warm new endpoints bear the whole load."""
        if self.new_slots >= EQUAL_SLOT_SHARE * self.old_slots:
            return self.new > 0
        return (
            self.new_slots >= MIN_SLOT_SHARE * self.old_slots
            and self.new_slots * USABLE_SLOT_SHARE >= self.load
        )
