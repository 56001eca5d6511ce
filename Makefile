# Two commands for a fresh machine: `make demo` and `make test`. Both set up a virtual environment of their own.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test check benchmarks

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m kelpcourse.cli demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest

check: $(VENV)/.installed
	$(BIN)/ruff check kelpcourse tests benchmarks
	$(BIN)/mypy
	$(BIN)/python tests/module_size.py

benchmarks: $(VENV)/.installed
	$(BIN)/python -m benchmarks.loop_turn
	$(BIN)/python -m benchmarks.zones
	$(BIN)/python -m benchmarks.store
	$(BIN)/python -m benchmarks.platform
	$(BIN)/python -m benchmarks.shared
	$(BIN)/python -m benchmarks.fleet
