"""Tests that every test named on the proofs page exists."""

import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, GreaterThan

_PAGE = Path(__file__).parents[2] / 'docs' / 'PROOFS.md'
_TEST_ID = re.compile(r'`(tests/[\w/]+\.py)::(\w+)::(\w+)`')


class TestProofsPage(TestCase):
    """docs/PROOFS.md"""

    def test_named_tests_exist(self) -> None:
        """The class in the file of each test id has that method."""
        test_ids = _TEST_ID.findall(_PAGE.read_text(encoding='utf-8'))
        self.assertThat(len(test_ids), GreaterThan(10))
        for path, class_name, name in test_ids:
            source = (_PAGE.parents[1] / path).read_text(encoding='utf-8')
            _, _, following_source = source.partition(f'class {class_name}(')
            class_source = following_source.partition('\nclass ')[0]
            self.assertThat(
                class_source, Contains(f'def {name}('), f'{path}::{name}'
            )
