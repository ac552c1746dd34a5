"""Writes JSON Schemas of the settings files and of a service's document.

``python -m tools.schemas FOLDER``; the committed copies are in ``schemas/``.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType

import click
import msgspec

from daisydyke._settings._daemon import EntrySettings
from daisydyke._settings._documents import ServiceDocument
from daisydyke.platform import _settings

MODELS: Mapping[str, type] = MappingProxyType(
    {
        'entry-settings': EntrySettings,
        'gateway-settings': _settings._Settings,  # noqa: SLF001
        'service': ServiceDocument,
    }
)


def render(name: str) -> str:
    """Return a model's schema as indented JSON."""
    schema = msgspec.json.schema(MODELS[name])
    text = json.dumps(schema, indent=2, sort_keys=True)
    return f'{text}\n'


@click.command()
@click.argument('folder', type=click.Path(path_type=Path, file_okay=False))
def main(folder: Path) -> None:
    """Write every schema into FOLDER."""
    folder.mkdir(parents=True, exist_ok=True)
    for name in MODELS:
        path = folder / f'{name}.schema.json'
        path.write_text(render(name), encoding='utf-8')
        click.echo(str(path))


if __name__ == '__main__':
    main()
