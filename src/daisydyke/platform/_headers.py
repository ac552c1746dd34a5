"""Names of header fields, in the lower case used for comparison."""

from __future__ import annotations

REQUEST_ID = b'daisydyke-request-id'
# Milliseconds for which the sender waits, counted from the time of sending.
DEADLINE_MS = b'daisydyke-deadline-ms'
# Backend server's signature of its response; returned to the caller unchanged.
SERVER_STAMP = b'daisydyke-server-stamp'
# Backend server instance that the request is meant for.
TARGET_INSTANCE = b'daisydyke-target-instance'
# Present, with any value, if the server has not run the request.
NOT_EXECUTED = b'daisydyke-not-executed'
# Backend server instance that sent the response.
INSTANCE_ID = b'daisydyke-instance-id'
# Milliseconds of warm-up that the server has left.
WARMUP_MS = b'daisydyke-warmup-ms'
# Server stamps of the shards' parts in a merged answer, separated by commas.
PART_STAMPS = b'daisydyke-part-stamps'
# Number of shards without a part in a merged answer.
MISSING_PARTS = b'daisydyke-missing-parts'
RETRY_AFTER = b'retry-after'
# Caller's key, and the scheme that a response without success asks for.
AUTHORIZATION = b'authorization'
AUTHENTICATE = b'www-authenticate'
# Customer on whose behalf a request is; set by this VM.
CUSTOMER_NAME = b'daisydyke-tenant-id'

# Fields that apply to a single connection or that each hop sets itself; they
# are not forwarded.
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
