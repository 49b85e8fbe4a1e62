"""The gateway: address lookup, routing, retries, membership."""
