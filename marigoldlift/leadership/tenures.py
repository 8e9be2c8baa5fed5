"""Order of the tenures, in which records of an earlier one have no effect."""

from marigoldlift.submissions.records import NEW_TENURE, Leadership

__all__ = ('TenureOrder',)


class TenureOrder:
    """Decides which leadership records take effect; all entries decide alike, by the order of the log.

    A leader that was paused may renew before it has read the claim of its successor, and a renewal that got no answer may
    be stored after that claim.

    Attributes:
        offset: offset of the newest record that was read.
        newest: number of the newest tenure that has begun.
        saw_begin: whether this entry has read the claim that began it, as one that started later has not.
        unreleased: number of a tenure of this entry that another entry has ended, until that is stored; None if there is
            none.
        is_restarting: whether this entry has claimed a tenure in place of its present one, which has not begun yet.
        restarted: number of that present tenure, None if there was none.
    """

    def __init__(self) -> None:
        """Start without records."""
        self.offset = -1
        self.newest = NEW_TENURE
        self.saw_begin = False
        self.unreleased: int | None = None
        self.is_restarting = False
        self.restarted: int | None = None

    def note_unreleased(self, tenure: int | None) -> None:
        """Record that another entry has ended a tenure of this one; None for the one that this entry was restarting."""
        self.unreleased = self.restarted if tenure is None else tenure

    def admit(self, record: Leadership, offset: int, *, is_held: bool) -> bool:
        """Return whether a record takes effect, and note the tenure that it begins or renews.

        Args:
            record: the record.
            offset: its offset in the log, above that of all records before.
            is_held: whether its sender leads already; a claim of the leader itself begins no new tenure.
        """
        self.offset = offset
        if record.renews == NEW_TENURE:
            self.newest = self.newest if is_held else offset
            self.saw_begin = True
            return True
        if record.renews < self.newest:
            return False
        self.saw_begin = self.saw_begin and record.renews == self.newest
        self.newest = record.renews
        return True
