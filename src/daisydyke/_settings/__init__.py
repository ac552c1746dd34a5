"""Validated models of stored documents and settings files."""
