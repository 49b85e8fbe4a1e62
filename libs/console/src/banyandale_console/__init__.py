"""HTML forms that edit the configuration document."""
