"""Stand-ins for platform and backend servers, load tool and demo."""
