PYTHON ?= python3.11
BIN := .venv/bin
TESTS ?= tests
SECONDS ?= 60
SEEDS ?= 1 2 3 4

.PHONY: test lint types unit format demo bench measure soak soak-own-store

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

measure: .venv/installed
	$(BIN)/python -m bench.measure --seed 1

soak: .venv/installed
	$(BIN)/python -m tests.soak.run --seconds $(SECONDS) --seeds $(SEEDS)

soak-own-store: .venv/installed
	$(BIN)/python -m tests.system.soak --seconds $(SECONDS) $(SEEDS)
