"""Contract tests of the adapters and of the protocols between VMs."""
