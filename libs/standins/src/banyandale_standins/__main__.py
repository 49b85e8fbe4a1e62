"""Runs the stand-ins with `python -m banyandale_standins`."""

from banyandale_standins import _main as main

main.main()
