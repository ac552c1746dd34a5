"""Query planning: chooses an index version and segments that cover it."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from ._model import KeyRange, Plan, Segment, ServerState

_ServerStates = Mapping[str, ServerState]


def make_plan(
    states: _ServerStates,
    usable: Collection[str],
    key_count: int,
    excluded_versions: Iterable[int] = (),
) -> Plan:
    """Plan a query on the index version that covers the most keys.

    The newest version is chosen on a tie.

    Servers may divide the key space of one version at different places while
    ranges are split, merged or moved. The plan is divided at every boundary
    of any server, so its segments are disjoint whichever server answers each
    of them.

    Parameters:
        states: all known servers by identifier.
        usable: identifiers of the servers that may be sent requests now.
        key_count: size of the key space.
        excluded_versions: versions found to be no longer served.

    Raises:
        LookupError: no version remains to choose from.
    """
    versions = {
        version for state in states.values() for version in state.indexes
    }
    plans = [
        _plan_version(states, key_count, version)
        for version in versions.difference(excluded_versions)
    ]
    if not plans:
        raise LookupError('no index version is served')
    return max(plans, key=lambda plan: _preference(plan, usable))


def _preference(plan: Plan, usable: Collection[str]) -> tuple[int, int]:
    covered_keys = sum(
        segment.keys.width
        for segment in plan.segments
        if any(server in usable for server in segment.candidates)
    )
    return covered_keys, plan.snapshot


def _plan_version(
    states: _ServerStates,
    key_count: int,
    version: int,
) -> Plan:
    ranges_by_server = {
        server_id: state.indexes[version]
        for server_id, state in states.items()
        if version in state.indexes
    }
    bounds = {0, key_count}
    for ranges in ranges_by_server.values():
        for key_range in ranges:
            bounds.update((key_range.start, key_range.end))
    boundaries = sorted(bound for bound in bounds if 0 <= bound <= key_count)
    return _build_plan(version, ranges_by_server, boundaries)


def _build_plan(
    version: int,
    ranges_by_server: Mapping[str, tuple[KeyRange, ...]],
    boundaries: list[int],
) -> Plan:
    servers = _servers_by_interval(ranges_by_server, boundaries)
    segments: list[Segment] = []
    gaps: list[KeyRange] = []
    for index, start in enumerate(boundaries[:-1]):
        interval = KeyRange(start, boundaries[index + 1])
        if servers[index]:
            segments.append(Segment(interval, tuple(servers[index])))
        else:
            gaps.append(interval)
    return Plan(version, tuple(segments), tuple(gaps))


def _servers_by_interval(
    ranges_by_server: Mapping[str, tuple[KeyRange, ...]],
    boundaries: list[int],
) -> list[list[str]]:
    interval_indexes = {start: index for index, start in enumerate(boundaries)}
    servers: list[list[str]] = [[] for _ in boundaries]
    for server_id, ranges in sorted(ranges_by_server.items()):
        for key_range in ranges:
            _add_server(servers, interval_indexes, key_range, server_id)
    return servers


def _add_server(
    servers: list[list[str]],
    interval_indexes: Mapping[int, int],
    key_range: KeyRange,
    server_id: str,
) -> None:
    first = interval_indexes.get(key_range.start, 0)
    last = interval_indexes.get(key_range.end, first)
    for index in range(first, last):
        if server_id not in servers[index]:
            servers[index].append(server_id)
