"""Tests of the published JSON Schemas."""

import json
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Equals

from tools.schemas import MODELS, render_schema

FOLDER = Path(__file__).parents[2] / 'schemas'


class TestSchemas(TestCase):
    """tools.schemas"""

    def test_up_to_date(self) -> None:
        """The committed schemas match the models."""
        for name in MODELS:
            path = FOLDER / f'{name}.schema.json'
            self.assertThat(path.read_text(), Equals(render_schema(name)))

    def test_required(self) -> None:
        """A schema lists the members that a settings file requires."""
        schema = json.loads(render_schema('gateway-settings'))
        members = schema['$defs']['_Settings']
        self.assertThat(members['required'], Contains('platform'))
