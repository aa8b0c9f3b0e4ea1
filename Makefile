# Each target sets up all it needs: a virtual environment with the pinned packages.
PYTHON ?= python3
BIN = .venv/bin
WORKSPACE = $(patsubst %,-e %,$(wildcard packages/kitekeel-*))

.PHONY: setup demo test lint format clean

setup: .venv/.ready

.venv/.ready: requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-build-isolation --no-deps $(WORKSPACE)
	touch .venv/.ready

demo: setup
	$(BIN)/python -m kitekeel_lab demo

lint: setup
	$(BIN)/ruff format --check packages platform features tests
	$(BIN)/ruff check packages platform features tests
	$(BIN)/mypy
	PYTHONPATH=platform $(BIN)/lint-imports

format: setup
	$(BIN)/ruff format packages platform features tests
	$(BIN)/ruff check --fix packages platform features tests

test: lint
	$(BIN)/python -m kitekeel_lab verify

clean:
	rm -rf .venv
