"""Tests of the published schemas."""

import json
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Equals

from tools.schemas import MODELS, render

FOLDER = Path(__file__).parents[2] / 'schemas'


class TestSchemas(TestCase):
    """tools.schemas"""

    def test_up_to_date(self) -> None:
        """The committed schemas are those of the models."""
        for name in MODELS:
            path = FOLDER / f'{name}.schema.json'
            self.assertThat(path.read_text(), Equals(render(name)))

    def test_required(self) -> None:
        """A schema names what a settings file must hold."""
        schema = json.loads(render('gateway-settings'))
        members = schema['$defs']['_Settings']
        self.assertThat(members['required'], Contains('platform'))
