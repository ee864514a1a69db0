PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = toucandeal toucandeald toucandeal-cli toucandeal-standins
TOOLS = ruff flake8 wemake-python-styleguide pytest hypothesis
SEED ?= 1

.PHONY: demo test lint format bench bench-quick clean

$(VENV)/installed: constraints.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt setuptools wheel
	$(BIN)/python -m pip install -q -c constraints.txt $(TOOLS)
	$(BIN)/python -m pip install -q -c constraints.txt --no-build-isolation $(PACKAGES:%=-e packages/%)
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m toucandeal_standins.demo --seed $(SEED)

lint: $(VENV)/installed
	$(BIN)/ruff format --check packages
	$(BIN)/ruff check packages
	$(BIN)/flake8 packages

format: $(VENV)/installed
	$(BIN)/ruff check --fix packages
	$(BIN)/ruff format packages

test: lint
	$(BIN)/python -m pytest

bench: $(VENV)/installed
	$(BIN)/python -m toucandeal_standins.bench --seed $(SEED)

bench-quick: $(VENV)/installed
	$(BIN)/python -m toucandeal_standins.bench --quick --seed $(SEED)

clean:
	rm -rf $(VENV) bench-output .pytest_cache .hypothesis
