PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = toucandeal toucandeald toucandeal-cli toucandeal-standins
TOOLS = ruff flake8 wemake-python-styleguide pytest hypothesis
SEED ?= 1

.PHONY: demo test lint format bench bench-quick clean

$(VENV)/installed: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt setuptools wheel
	$(BIN)/python -m pip install -q -c constraints.txt $(TOOLS)
	$(BIN)/python -m pip install -q -c constraints.txt --no-build-isolation $(PACKAGES:%=-e packages/%) -e platform
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m toucandeal_standins.demo --seed $(SEED)

lint: $(VENV)/installed
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/flake8 packages platform

format: $(VENV)/installed
	$(BIN)/ruff check --fix packages platform
	$(BIN)/ruff format packages platform

test: lint
	$(BIN)/python -m pytest

bench: $(VENV)/installed
	$(BIN)/python -m toucandeal_standins.bench --seed $(SEED)

bench-quick: $(VENV)/installed
	$(BIN)/python -m toucandeal_standins.bench --quick --seed $(SEED)

clean:
	rm -rf $(VENV) bench-output .pytest_cache .hypothesis
