"""Least-squares fit of a line through measured points."""

from collections.abc import Sequence

import msgspec

__all__ = ('Fit', 'fit_line')

PERCENT = 100


class Fit(msgspec.Struct, frozen=True):
    """A line `intercept + slope * size`.

    Attributes:
        residual: largest relative deviation of the line from a measured value.
    """

    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size

    def describe(self, unit: str, per: str) -> str:
        """Return the line as text.

        Args:
            unit: unit of the measured values.
            per: what one unit of size is.
        """
        percent = self.residual * PERCENT
        line = f'{self.intercept:.4g} {unit} + {self.slope:.4g} {unit}/{per}'
        return f'{line}, largest residual {percent:.1f}%'


def fit_line(sizes: Sequence[float], measured: Sequence[float]) -> Fit:
    """Fit a line through at least three points.

    Raises:
        ValueError: there are fewer than three points, or all have the same size.
    """
    if len(sizes) < 3 or len(set(sizes)) < 2:
        raise ValueError('a line needs at least three points, not all of the same size')
    mean_size = sum(sizes) / len(sizes)
    mean = sum(measured) / len(measured)
    points = tuple(zip(sizes, measured, strict=True))
    size_squares = sum((size - mean_size) ** 2 for size in sizes)
    cross_products = sum((size - mean_size) * (value - mean) for size, value in points)
    slope = cross_products / size_squares
    intercept = mean - slope * mean_size
    line = Fit(intercept, slope, 0)
    residual = max(relative_distance(line.at(size), value) for size, value in points)
    return msgspec.structs.replace(line, residual=residual)


def relative_distance(expected: float, value: float) -> float:
    """Return the deviation of a measured value from the expected one, relative to the measured value."""
    return abs(value - expected) / abs(value)
