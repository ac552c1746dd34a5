"""Entry VMs: who is alive, and which of them callers use."""
