"""Writes the JSON Schemas of the settings files and the service document.

Run as ``python -m tools.schemas FOLDER``. The generated files are committed
in ``schemas/``.
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


def render_schema(name: str) -> str:
    """Return the schema of a model as indented JSON.

    Parameters:
        name: key of the model in ``MODELS``.
    """
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
        path.write_text(render_schema(name), encoding='utf-8')
        click.echo(str(path))


if __name__ == '__main__':
    main()
