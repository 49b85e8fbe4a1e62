VENV ?= .venv
PYTHON := $(VENV)/bin/python
SRC := $(wildcard libs/*/src) platform/src
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(abspath $(SRC)))

.PHONY: all venv format lint unit test demo measure dist clean

all: test

$(VENV)/.installed: requirements/dev.txt requirements/runtime.txt requirements/constraints.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements/dev.txt -c requirements/constraints.txt
	touch $@

venv: $(VENV)/.installed

# Rewrites the code in the project's format.
format: venv
	$(VENV)/bin/ruff check -q --fix-only libs platform tools || true
	$(VENV)/bin/ruff format -q libs platform tools tests

# Fails on unformatted code, lint findings and imports across layers.
lint: venv
	$(VENV)/bin/ruff format --check libs platform tools tests
	$(VENV)/bin/ruff check libs platform tools tests
	$(PYTHON) tools/check_imports.py libs platform
	$(VENV)/bin/lint-imports --no-cache

unit: venv
	$(PYTHON) -m pytest

test: lint unit

# Runs the whole system on loopback for less than a minute.
demo: venv
	$(PYTHON) -m banyandale_standins demo

# Repeats the measurements of docs/MEASUREMENTS.md.
measure: venv
	$(PYTHON) -m banyandale_standins measure

# Builds the program as one file, dist/banyandale.
dist: venv
	mkdir -p dist
	PIP_CONSTRAINT=requirements/constraints.txt $(VENV)/bin/shiv \
	    --console-script banyandale --output-file dist/banyandale \
	    --python '/usr/bin/env python3' -q \
	    $(addprefix ./libs/,core retry http platform lease config claims dispatch peer gateway console app)

clean:
	rm -rf dist libs/*/build libs/*/src/*.egg-info
