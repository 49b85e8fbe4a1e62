"""Authenticated links between gateways."""
