"""Tests that the models hold and that each guard is necessary."""

from testtools import TestCase
from testtools.matchers import Equals

from specs.__main__ import MODELS, describe
from specs.model import check


class TestModels(TestCase):
    """specs"""

    def test_models_hold(self) -> None:
        """Each model's invariants hold in all reachable states."""
        for model in MODELS:
            verdict = check(model)
            self.assertThat(verdict.as_expected, Equals(True), model.name)

    def test_every_guard_is_needed(self) -> None:
        """With any one guard removed, the checker finds a counterexample."""
        for model in MODELS:
            for guard in model.guards:
                verdict = check(model, guard)
                self.assertThat(
                    verdict.as_expected,
                    Equals(True),
                    describe(verdict),
                )
