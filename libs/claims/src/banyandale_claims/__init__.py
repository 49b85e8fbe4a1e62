"""Idempotency-key claims with group commit."""
