"""The banyandale program: command line, settings and wiring."""
