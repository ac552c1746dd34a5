"""Renders the benchmark's journal as one page with plots.

``python -m tools.report --output report.html`` plots every entry with days;
``--only ID ID`` compares two entries.
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

_PLOT_WIDTH_IN = 11
_PLOT_HEIGHT_IN = 4.5
_MINIMUM_PLOTTED_PRICE = 0.003
_BAR_WIDTH = 0.8


@dataclass(frozen=True)
class Day:
    """Result of one benchmark day.

    Parameters:
        net_credit: credit minus prices, as a share of the owed credit.
        parts: credit of each part of the day, by the part's name.
        prices: deductions from the credit, by kind.
        broken_rules: names of the rules that were violated.
    """

    name: str
    net_credit: float
    served: float
    refused: float
    failed: float
    parts: dict[str, float]
    prices: dict[str, float]
    broken_rules: tuple[str, ...]


@dataclass(frozen=True)
class Entry:
    """One entry of the journal.

    Parameters:
        entry_id: identifier of the entry.
        site: benchmark site.
        revision: abbreviated commit that was measured.
        reason: why the measurement was made.
        days: results, in the order of the journal entry.
    """

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
    help='Directory with the journal entries.',
)
@click.option('--only', nargs=2, help='Two entries to compare.')
@click.option(
    '--output',
    type=click.Path(path_type=Path),
    default=Path('report.html'),
    help='Page to write.',
)
def main(journal: Path, only: tuple[str, str] | None, output: Path) -> None:
    """Write the report page."""
    entries = read_entries(journal)
    if only:
        entries = [entry for entry in entries if entry.entry_id in only]
    if not entries:
        raise click.ClickException(f'{journal}: no entry with days')
    mpl.use('Agg')
    sections = [_render_section(entry) for entry in entries]
    page = ''.join(
        ('<h1>Benchmark days</h1>', _render_trend(entries), *sections)
    )
    output.write_text(page, encoding='utf-8')
    click.echo(f'{output}: {len(entries)} entries')


def read_entries(journal: Path) -> list[Entry]:
    """Return the entries that have days, in the order of their file names.

    A truncated or invalid entry is left out with a message on standard error;
    an entry without days is left out without one.
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


def _to_entry(fields: dict) -> Entry:
    return Entry(
        fields['id'],
        fields.get('site') or '',
        (fields.get('head') or '')[:8],
        fields.get('why') or '',
        tuple(_to_day(day) for day in fields.get('days') or ()),
    )


def _to_day(fields: dict) -> Day:
    return Day(
        fields['name'],
        fields['G'] or 0,
        fields['served'] or 0,
        fields['refused'] or 0,
        fields['failed'] or 0,
        {name: credit for name, _, credit in fields['parts']},
        {name: price for name, _, price in fields['prices']},
        tuple(fields['rules'] or ()),
    )


def _render_section(entry: Entry) -> str:
    figure, axes = plt.subplots(1, 2, figsize=(_PLOT_WIDTH_IN, _PLOT_HEIGHT_IN))
    _plot_credit(axes[0], entry)
    _plot_prices(axes[1], entry)
    title = f'{entry.site} {entry.entry_id}, code {entry.revision}'
    broken = {rule for day in entry.days for rule in day.broken_rules}
    rules = ', '.join(sorted(broken)) or 'none'
    image = _render_image(figure)
    return (
        f'<h2>{title}</h2><p>{entry.reason}</p>'
        f'<p>Rules broken: {rules}</p>{image}'
    )


def _plot_credit(axes: Axes, entry: Entry) -> None:
    names = [day.name for day in entry.days]
    axes.plot(
        names, [day.net_credit for day in entry.days], 'ko-', label='net credit'
    )
    parts = {part: None for day in entry.days for part in day.parts}
    for part in parts:
        credit = [day.parts.get(part) for day in entry.days]
        axes.plot(names, credit, 'o', label=part)
    axes.plot(names, [day.refused for day in entry.days], label='refused')
    axes.plot(names, [day.failed for day in entry.days], label='failed')
    _label_axes(axes, 'credit')


def _plot_prices(axes: Axes, entry: Entry) -> None:
    names = [day.name for day in entry.days]
    bottom: list[float] = [0 for _ in names]
    kinds = {kind: None for day in entry.days for kind in day.prices}
    for kind in kinds:
        heights = [day.prices.get(kind, 0) for day in entry.days]
        if max(heights) < _MINIMUM_PLOTTED_PRICE:
            continue
        axes.bar(names, heights, _BAR_WIDTH, bottom=bottom, label=kind)
        bottom = [sum(pair) for pair in zip(bottom, heights, strict=True)]
    _label_axes(axes, 'prices')


def _label_axes(axes: Axes, title: str) -> None:
    axes.set_title(title)
    axes.tick_params(axis='x', rotation=90, labelsize=6)
    axes.legend(fontsize=6)


def _render_trend(entries: list[Entry]) -> str:
    figure, axes = plt.subplots(figsize=(_PLOT_WIDTH_IN, _PLOT_HEIGHT_IN))
    labels = [f'{entry.entry_id} {entry.revision}' for entry in entries]
    for site in sorted({entry.site for entry in entries}):
        means = [
            _mean_net_credit(entry) if entry.site == site else None
            for entry in entries
        ]
        axes.plot(labels, means, 'o', label=site)
    _label_axes(axes, 'mean net credit of the days of each entry')
    return _render_image(figure)


def _mean_net_credit(entry: Entry) -> float:
    return sum(day.net_credit for day in entry.days) / len(entry.days)


def _render_image(figure: Figure) -> str:
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format='png')
    plt.close(figure)
    encoded = base64.b64encode(buffer.getvalue()).decode('ascii')
    return f'<img src="data:image/png;base64,{encoded}">'


if __name__ == '__main__':
    main()
