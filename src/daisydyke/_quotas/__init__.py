"""Rate limits of customers over all VMs together."""
