"""Runs the named benchmarks, or all of them: `python -m bench [--seed N] [NAME ...]`."""

import sys
from argparse import ArgumentParser
from collections.abc import Callable, Sequence
from importlib import import_module
from pkgutil import iter_modules

import bench

__all__ = ('main',)

PREFIX = 'bench_'

#: Widths of the columns in characters.
NAME_WIDTH = 28
FIGURE_WIDTH = 19

Row = dict[str, str | float]


def discover_benchmarks() -> dict[str, Callable[[int], list[Row] | list[str]]]:
    """Return the `run` function of each `bench_*` module, by the name without the prefix."""
    names = [module.name for module in iter_modules(bench.__path__)]
    return {
        name.removeprefix(PREFIX): import_module(f'bench.{name}').run
        for name in sorted(names)
        if name.startswith(PREFIX)
    }


def format_rows(rows: Sequence[Row] | Sequence[str]) -> str:
    """Return rows as text: a table of dictionaries, or the lines that a benchmark formatted itself."""
    lines = [row for row in rows if isinstance(row, str)]
    if lines:
        return '\n'.join(lines)
    return format_table([row for row in rows if isinstance(row, dict)])


def format_table(rows: Sequence[Row]) -> str:
    """Format rows as a table; a row with other columns than the one before starts a new table."""
    lines: list[str] = []
    columns: list[str] = []
    for row in rows:
        if list(row) != columns:
            columns = list(row)
            lines.extend(('', align_cells(columns)))
        lines.append(align_cells([str(figure) for figure in row.values()]))
    return '\n'.join(lines)


def align_cells(cells: Sequence[str]) -> str:
    """Pad and join cells: the first two are left-aligned names, the others right-aligned figures."""
    names = [cell.ljust(NAME_WIDTH) for cell in cells[:2]]
    figures = [cell.rjust(FIGURE_WIDTH) for cell in cells[2:]]
    return '  '.join(names + figures)


def main(arguments: Sequence[str]) -> None:
    """Run the named benchmarks and print the rows of each."""
    available = discover_benchmarks()
    parser = ArgumentParser(prog='python -m bench', description=__doc__)
    parser.add_argument('names', nargs='*', metavar='NAME', help=', '.join(available))
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    for name in options.names or available:
        if name not in available:
            parser.error(f'unknown benchmark: {name}')
        print(f'command: python -m bench {name} --seed {options.seed}')
        print(format_rows(available[name](options.seed)), end='\n\n')


if __name__ == '__main__':
    main(sys.argv[1:])
