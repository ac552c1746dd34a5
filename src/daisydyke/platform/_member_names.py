"""Names and units of a configuration's members in its document."""

from __future__ import annotations

from types import MappingProxyType

_MS_PER_S = 1000
# Members of the document by the attributes that have another name there.
_MEMBERS = MappingProxyType(
    {
        'prefix': 'path_prefix',
        'timeout': 'timeout_ms',
        'target_latency': 'target_latency_ms',
        'maximum_attempts': 'max_attempts',
        'services': 'traffic_split',
        'shards': 'gather',
        'maximum_records': 'top_k',
        'minimum_shard_share': 'min_shard_share',
        'is_open': 'auth_exempt',
        'idempotent': 'route_type',
        'maximum_connections': 'max_connections',
        'cold_rate': 'warmup_per_s',
        'warm_up': 'warmup_s',
        'keys': 'api_keys',
        'rate': 'rate_per_s',
        'burst': 'burst_size',
        'head_bytes': 'max_header_bytes',
        'body_bytes': 'max_body_bytes',
        'head_timeout': 'header_timeout_ms',
        'idle_timeout': 'idle_timeout_ms',
    }
)
# Members at the top of the document, where they differ.
_TOP_MEMBERS = MappingProxyType({'customers': 'tenants'})


def member_name(attribute: str) -> str:
    """Return the name of a member."""
    member = _MEMBERS.get(attribute, attribute)
    return _TOP_MEMBERS.get(member, member)


def member_value(attribute: str, value: object) -> object:
    """Return a value as the document states it."""
    if attribute == 'idempotent':
        return 'idempotent' if value else 'non_idempotent'
    if not isinstance(value, (int, float)):
        return value
    if member_name(attribute).endswith('_ms'):
        return round(value * _MS_PER_S, 3)
    return value


def member_path(place: tuple[str | int, ...]) -> str:
    """Return the JSON path of a place in a configuration.

    Parameters:
        place: attributes and positions that lead to it.
    """
    steps = ['$']
    for step in place:
        if isinstance(step, int):
            steps.append(f'[{step}]')
        else:
            # A list at the top has the name of its attribute, also where a
            # route has a member for an attribute of that name.
            name = step if len(steps) == 1 else _MEMBERS.get(step, step)
            steps.append(f'.{_TOP_MEMBERS.get(name, name)}')
    return ''.join(steps)
