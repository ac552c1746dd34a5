"""Connections between entry VMs and the service that answers on them."""
