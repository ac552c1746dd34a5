"""Reports that the VMs which serve requests send to each other."""
