PYTHON ?= python3.11
BIN := .venv/bin
TESTS ?= tests

.PHONY: test lint types unit format demo bench

test: lint types unit

.venv/installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

lint: .venv/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: .venv/installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

types: .venv/installed
	$(BIN)/mypy

unit: .venv/installed
	$(BIN)/python -m tests.run

demo: .venv/installed
	$(BIN)/python -m cicadafront.emulator.demo

bench: .venv/installed
	$(BIN)/python -m bench.hot
