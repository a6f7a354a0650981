"""Result tables of the benchmarks."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True)
class Table:
    """A table of results, one row per variant.

    :param title: what was measured, with the workload and the seed.
    :param columns: column headers with units.
    :param rows: formatted cells, one per column.
    """

    title: str
    columns: tuple[str, ...]
    rows: list[tuple[str, ...]] = dataclasses.field(default_factory=list)

    def add_row(self, *cells: object) -> None:
        """Append a row.

        :param cells: one cell per column; floats are rounded to four
            significant digits.
        :raises ValueError: if the number of cells differs from the columns.
        """
        if len(cells) != len(self.columns):
            raise ValueError(
                f'expected {len(self.columns)} cells, got {len(cells)}; '
                f'pass one per column of {self.title!r}'
            )
        self.rows.append(tuple(_format_cell(cell) for cell in cells))

    def format_lines(self) -> typing.Iterator[str]:
        """Yield the lines of the table in Markdown."""
        yield f'### {self.title}'
        yield ''
        yield _join_cells(self.columns)
        yield _join_cells('---' for _ in self.columns)
        for row in self.rows:
            yield _join_cells(row)
        yield ''


def _format_cell(cell: object) -> str:
    if isinstance(cell, float):
        return f'{cell:.4g}'
    return str(cell)


def _join_cells(cells: typing.Iterable[str]) -> str:
    return '| ' + ' | '.join(cells) + ' |'
