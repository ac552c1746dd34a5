"""Tests of daisydyke."""

import os

from hypothesis import settings

# The same examples in each run; HYPOTHESIS_PROFILE=long draws many new ones.
settings.register_profile(
    'fixed', derandomize=True, deadline=None, database=None
)
settings.register_profile(
    'long', max_examples=5000, deadline=None, database=None, print_blob=True
)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'fixed'))
