"""Links between entry VMs and what they serve each other."""
