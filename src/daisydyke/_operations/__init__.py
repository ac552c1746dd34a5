"""Configuration documents in force and operators' changes to them."""
