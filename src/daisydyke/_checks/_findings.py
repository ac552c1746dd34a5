"""What a check finds, and where."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType


class Rule(StrEnum):
    """Rule that an entry breaks although the configuration is valid."""

    HIDDEN_ROUTE = 'hidden_route'
    HOST_WITH_PORT = 'host_with_port'
    REPEATED_NAME = 'repeated_name'
    UNKNOWN_SERVICE = 'unknown_service'
    UNUSED_SERVICE = 'unused_service'
    ZERO_WEIGHT = 'zero_weight'
    REPEATED_SHARD = 'repeated_shard'
    SERVICE_BESIDE_SHARDS = 'service_beside_shards'
    CUSTOMER_WITHOUT_KEY = 'customer_without_key'
    UNSENDABLE_KEY = 'unsendable_key'
    OPEN_WITHOUT_CUSTOMERS = 'open_without_customers'
    NOBODY_HAS_A_KEY = 'nobody_has_a_key'
    TIMEOUT_BELOW_TARGET = 'timeout_below_target'
    TIMEOUT_TOO_SHORT = 'timeout_too_short'
    TARGET_TOO_SHORT = 'target_too_short'
    NO_RECORDS = 'no_records'
    BURST_WITHOUT_RATE = 'burst_without_rate'
    BURST_ABOVE_RATE = 'burst_above_rate'
    WARM_UP_WITHOUT_RATE = 'warm_up_without_rate'
    RATE_WITHOUT_WARM_UP = 'rate_without_warm_up'
    VERSION_NOT_ABOVE = 'version_not_above'


# Why it matters, and how to mend it.
_EXPLANATIONS = MappingProxyType(
    {
        Rule.HIDDEN_ROUTE: 'a later route of this host and prefix applies',
        Rule.HOST_WITH_PORT: 'hosts are compared without a port; leave it out',
        Rule.REPEATED_NAME: 'another entry has this name; give each its own',
        Rule.UNKNOWN_SERVICE: 'no service of this name has limits here; add it',
        Rule.UNUSED_SERVICE: 'no route leads to this service',
        Rule.ZERO_WEIGHT: 'gets no request; leave it out or give it a weight',
        Rule.REPEATED_SHARD: 'the shard is asked twice and its records repeat',
        Rule.SERVICE_BESIDE_SHARDS: 'has no effect on a route with shards',
        Rule.CUSTOMER_WITHOUT_KEY: 'nobody can call for it; add a key',
        Rule.UNSENDABLE_KEY: 'no caller can send this key; use visible ASCII',
        Rule.OPEN_WITHOUT_CUSTOMERS: 'has no effect without customers',
        Rule.NOBODY_HAS_A_KEY: 'no request on this route can succeed',
        Rule.TIMEOUT_BELOW_TARGET: 'requests end before that; raise it',
        Rule.TIMEOUT_TOO_SHORT: 'every request is refused; raise it',
        Rule.TARGET_TOO_SHORT: 'no answer from several servers can meet it',
        Rule.NO_RECORDS: 'answers have no records',
        Rule.BURST_WITHOUT_RATE: 'has no effect without a rate',
        Rule.BURST_ABOVE_RATE: 'one burst exceeds what a second allows',
        Rule.WARM_UP_WITHOUT_RATE: 'has no effect without a rate',
        Rule.RATE_WITHOUT_WARM_UP: 'has no effect without a time of warm-up',
        Rule.VERSION_NOT_ABOVE: 'VMs keep the version in force; raise it',
    }
)


@dataclass(frozen=True, slots=True)
class Finding:
    """An entry that breaks a rule.

    Parameters:
        place: attributes and positions that lead to it, from the outline on.
        subject: name that the rule is about, if the place does not tell.
    """

    rule: Rule
    place: tuple[str | int, ...]
    subject: str = ''

    @property
    def explanation(self) -> str:
        """Why it matters, and how to mend it."""
        return _EXPLANATIONS[self.rule]
