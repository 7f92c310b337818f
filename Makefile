VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: setup demo test format lint types check bench

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/python scripts/demo.py
	$(BIN)/python scripts/platform_demo.py

test: setup lint types check

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy

check: setup
	$(BIN)/python scripts/check.py

bench: setup
	$(BIN)/python -m benchmarks
