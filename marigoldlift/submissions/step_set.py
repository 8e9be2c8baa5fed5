"""Set of steps of one submission, over all its occurrences."""

from collections.abc import Iterator

__all__ = ('PART_STEPS', 'StepSet')

BITS_PER_BYTE = 8

#: Steps whose progress is stored in one record.
PART_STEPS = 256


class StepSet:
    """Set of steps as a bit mask, so that a submission with thousands of occurrences stays small.

    Attributes:
        width: number of steps of one occurrence.
        size: number of steps over all occurrences.
        mask: one bit for each step, those of the first occurrence lowest.
    """

    __slots__ = ('mask', 'size', 'width')

    def __init__(self, width: int, occurrences: int) -> None:
        """Create an empty set.

        Args:
            width: number of steps of one occurrence.
            occurrences: number of occurrences.
        """
        self.width = width
        self.size = width * occurrences
        self.mask = 0

    def __len__(self) -> int:
        """Return the number of steps in the set."""
        return self.mask.bit_count()

    def __contains__(self, key: tuple[int, int]) -> bool:
        """Return whether a step is in the set.

        Args:
            key: occurrence and number of the step.
        """
        return bool(self.mask >> self.position(key) & 1)

    @property
    def is_full(self) -> bool:
        """Return whether all steps of all occurrences are in the set."""
        return len(self) == self.size

    def copy(self) -> 'StepSet':
        """Return a copy that is changed on its own."""
        copied = StepSet(self.width, 0)
        copied.size = self.size
        copied.mask = self.mask
        return copied

    def position(self, key: tuple[int, int]) -> int:
        """Return the position of the bit of a step."""
        occurrence, number = key
        return occurrence * self.width + number

    def part_of(self, key: tuple[int, int]) -> int:
        """Return the number of the record that holds the progress of a step."""
        return self.position(key) // PART_STEPS

    def keys_of_part(self, part: int) -> Iterator[tuple[int, int]]:
        """Yield the steps whose progress is stored in one record."""
        first = part * PART_STEPS
        for position in range(first, min(self.size, first + PART_STEPS)):
            yield divmod(position, self.width)

    def add(self, key: tuple[int, int]) -> None:
        """Add a step."""
        self.mask |= 1 << self.position(key)

    def of_occurrence(self, occurrence: int) -> int:
        """Return the bits of the steps of one occurrence."""
        return self.mask >> occurrence * self.width & (1 << self.width) - 1

    def merge(self, encoded: bytes) -> None:
        """Add the steps of an encoded set; bits beyond the last step are ignored."""
        self.mask |= int.from_bytes(encoded, 'little') & (1 << self.size) - 1

    def encode(self) -> bytes:
        """Return the set as bytes, without trailing zeros."""
        return self.mask.to_bytes(-(-self.mask.bit_length() // BITS_PER_BYTE), 'little')
