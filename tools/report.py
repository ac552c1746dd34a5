"""Turns the bench's journal into one page with plots.

``python -m tools.report --output report.html`` plots every entry that played
days; ``--only ID ID`` puts two entries side by side.
"""

from __future__ import annotations

import base64
import io
import json
from dataclasses import dataclass
from pathlib import Path

import click
import matplotlib as mpl
from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

_WIDTH_IN = 11
_HEIGHT_IN = 4.5
_LEAST_PRICE = 0.003
_BAR_WIDTH = 0.8


@dataclass(frozen=True)
class Day:
    """One played day.

    Parameters:
        worth: credit less prices, as a share of what was owed.
        parts: credit by the part of the day that it is taken over.
        prices: what was taken off the worth, by kind.
    """

    name: str
    worth: float
    served: float
    refused: float
    failed: float
    parts: dict[str, float]
    prices: dict[str, float]
    broken: tuple[str, ...]


@dataclass(frozen=True)
class Entry:
    """One entry of the journal; ``revision`` names the code it ran."""

    entry_id: str
    site: str
    revision: str
    reason: str
    days: tuple[Day, ...]


@click.command()
@click.option(
    '--journal',
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    default=Path('journal'),
    help='Folder with the entries.',
)
@click.option('--only', nargs=2, help='Two entries to compare.')
@click.option(
    '--output',
    type=click.Path(path_type=Path),
    default=Path('report.html'),
    help='Page to write.',
)
def main(journal: Path, only: tuple[str, str] | None, output: Path) -> None:
    """Write the page."""
    entries = read_entries(journal)
    if only:
        entries = [entry for entry in entries if entry.entry_id in only]
    if not entries:
        raise click.ClickException(f'{journal}: no entry with played days')
    mpl.use('Agg')
    pieces = [_section(entry) for entry in entries]
    page = ''.join(('<h1>Played days</h1>', _trend(entries), *pieces))
    output.write_text(page, encoding='utf-8')
    click.echo(f'{output}: {len(entries)} entries')


def read_entries(journal: Path) -> list[Entry]:
    """Return the entries that played days, oldest first.

    An entry that was cut short, or that has no days, is left out with a line
    on standard error.
    """
    entries = []
    for path in sorted(journal.glob('*.json')):
        try:
            entry = _to_entry(json.loads(path.read_text(encoding='utf-8')))
        except (ValueError, KeyError, TypeError) as error:
            click.echo(f'{path}: left out: {error!r}', err=True)
            continue
        if entry.days:
            entries.append(entry)
    return entries


def _to_entry(found: dict) -> Entry:
    return Entry(
        found['id'],
        found.get('site') or '',
        (found.get('head') or '')[:8],
        found.get('why') or '',
        tuple(_to_day(day) for day in found.get('days') or ()),
    )


def _to_day(found: dict) -> Day:
    return Day(
        found['name'],
        found['G'] or 0,
        found['served'] or 0,
        found['refused'] or 0,
        found['failed'] or 0,
        {name: credit for name, _, credit in found['parts']},
        {name: price for name, _, price in found['prices']},
        tuple(found['rules'] or ()),
    )


def _section(entry: Entry) -> str:
    figure, axes = plt.subplots(1, 2, figsize=(_WIDTH_IN, _HEIGHT_IN))
    _plot_credit(axes[0], entry)
    _plot_prices(axes[1], entry)
    title = f'{entry.site} {entry.entry_id}, code {entry.revision}'
    broken = {rule for day in entry.days for rule in day.broken}
    rules = ', '.join(sorted(broken)) or 'none'
    picture = _picture(figure)
    return (
        f'<h2>{title}</h2><p>{entry.reason}</p>'
        f'<p>Rules broken: {rules}</p>{picture}'
    )


def _plot_credit(axes: Axes, entry: Entry) -> None:
    names = [day.name for day in entry.days]
    axes.plot(names, [day.worth for day in entry.days], 'ko-', label='worth')
    parts = {part: None for day in entry.days for part in day.parts}
    for part in parts:
        credit = [day.parts.get(part) for day in entry.days]
        axes.plot(names, credit, 'o', label=part)
    axes.plot(names, [day.refused for day in entry.days], label='refused')
    axes.plot(names, [day.failed for day in entry.days], label='failed')
    _finish(axes, 'credit')


def _plot_prices(axes: Axes, entry: Entry) -> None:
    names = [day.name for day in entry.days]
    bottom: list[float] = [0 for _ in names]
    kinds = {kind: None for day in entry.days for kind in day.prices}
    for kind in kinds:
        heights = [day.prices.get(kind, 0) for day in entry.days]
        if max(heights) < _LEAST_PRICE:
            continue
        axes.bar(names, heights, _BAR_WIDTH, bottom=bottom, label=kind)
        bottom = [sum(pair) for pair in zip(bottom, heights, strict=True)]
    _finish(axes, 'prices')


def _finish(axes: Axes, title: str) -> None:
    axes.set_title(title)
    axes.tick_params(axis='x', rotation=90, labelsize=6)
    axes.legend(fontsize=6)


def _trend(entries: list[Entry]) -> str:
    figure, axes = plt.subplots(figsize=(_WIDTH_IN, _HEIGHT_IN))
    labels = [f'{entry.entry_id} {entry.revision}' for entry in entries]
    for site in sorted({entry.site for entry in entries}):
        means = [
            _mean_worth(entry) if entry.site == site else None
            for entry in entries
        ]
        axes.plot(labels, means, 'o', label=site)
    _finish(axes, 'mean worth of the days of each entry')
    return _picture(figure)


def _mean_worth(entry: Entry) -> float:
    return sum(day.worth for day in entry.days) / len(entry.days)


def _picture(figure: Figure) -> str:
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format='png')
    plt.close(figure)
    encoded = base64.b64encode(buffer.getvalue()).decode('ascii')
    return f'<img src="data:image/png;base64,{encoded}">'


if __name__ == '__main__':
    main()
