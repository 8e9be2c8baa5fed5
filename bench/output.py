"""Output of benchmarks that run as modules of their own."""

import argparse
import statistics
from collections.abc import Callable, Sequence

__all__ = ('DEFAULT_SEED', 'percentiles_ms', 'print_rows')

DEFAULT_SEED = 20260
MS_PER_S = 1000
PERCENT = 100


def print_rows(module: str, run: Callable[[int], list[str]]) -> None:
    """Run a benchmark with the seed of the command line; print the command and the rows.

    Args:
        module: name of the module in this package.
        run: function that returns the rows for a seed.
    """
    parser = argparse.ArgumentParser(prog=f'python -m bench.{module}')
    parser.add_argument('--seed', type=int, default=DEFAULT_SEED)
    seed = parser.parse_args().seed
    print(f'command: python -m bench.{module} --seed {seed}')
    for row in run(seed):
        print(row)


def percentiles_ms(times_s: Sequence[float]) -> str:
    """Return the median and the 99th percentile of times as text, in milliseconds."""
    median_ms = statistics.median(times_s) * MS_PER_S
    tail_ms = statistics.quantiles(times_s, n=PERCENT)[-1] * MS_PER_S
    return f'p50 {median_ms:.1f} ms, p99 {tail_ms:.1f} ms (n={len(times_s)})'
