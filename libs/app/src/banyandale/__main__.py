"""Runs the program with `python -m banyandale`."""

from banyandale import _main as main

main.main()
