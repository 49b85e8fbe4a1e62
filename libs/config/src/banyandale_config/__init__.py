"""Configuration document, publication and distribution."""
