"""Translation between the platform and the product; decides nothing."""
