"""Translation between the platform's formats and the core's types.

The package makes no decisions about requests, servers or members.
"""
