"""Header fields of the platform, in lower case as they are compared."""

from __future__ import annotations

REQUEST_ID = b'daisydyke-request-id'
# Milliseconds that the sender waits, counted from when it sends.
DEADLINE_MS = b'daisydyke-deadline-ms'
# Signature of a server's response; goes to the caller unchanged.
SERVER_STAMP = b'daisydyke-server-stamp'
TARGET_INSTANCE = b'daisydyke-target-instance'
# Present, with any value, where the server has not run the request.
NOT_EXECUTED = b'daisydyke-not-executed'
INSTANCE_ID = b'daisydyke-instance-id'
# Milliseconds for which the server stays cold.
WARMUP_MS = b'daisydyke-warmup-ms'
PART_STAMPS = b'daisydyke-part-stamps'
MISSING_PARTS = b'daisydyke-missing-parts'
RETRY_AFTER = b'retry-after'

# Fields that concern one connection only, or that each hop sets itself.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
