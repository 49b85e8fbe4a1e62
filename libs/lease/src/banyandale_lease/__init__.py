"""Leases, ownership of homes and rendezvous hashing."""
