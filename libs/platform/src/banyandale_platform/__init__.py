"""Clients for the platform: object store and VM list."""
