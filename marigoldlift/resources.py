"""Amounts of processors, memory, accelerators and slots."""

import msgspec

__all__ = ('Resources', 'ZERO_RESOURCES')


class Resources(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources that a task needs or a worker offers.

    Attributes:
        cpu_milli: thousandths of a core.
        memory_mb: megabytes of memory.
        accelerators: whole accelerators.
        slots: number of requests that run concurrently.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        """Sum each dimension."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        """Subtract each dimension; the result may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def fits_into(self, free: 'Resources') -> bool:
        """Return whether each dimension is at most that of `free`."""
        return (
            self.cpu_milli <= free.cpu_milli
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
            and self.slots <= free.slots
        )


ZERO_RESOURCES = Resources()
