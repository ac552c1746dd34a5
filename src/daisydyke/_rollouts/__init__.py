"""Roll-outs of services to new versions, decided from all VMs' evidence."""
