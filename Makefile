.PHONY: demo test lint bench format clean

PYTHON ?= python3.11
BIN := .venv/bin
PACKAGES := papayapost papayapost-node papayapost-operator papayapost-testing

demo: .venv/ready
	$(BIN)/python -m papayapost_testing.demo

test: .venv/ready
	$(BIN)/python -m pytest $(ARGS)

lint: .venv/ready
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/lint-imports --no-cache
	$(BIN)/mypy --no-incremental $(PACKAGES:%=packages/%/src) platform/src

format: .venv/ready
	$(BIN)/ruff format packages platform
	$(BIN)/ruff check --fix packages platform

bench: .venv/ready
	$(BIN)/python -m papayapost_testing.bench $(ARGS)

clean:
	rm -rf .venv

.venv/ready: constraints.txt $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install -q -c constraints.txt setuptools wheel
	$(BIN)/python -m pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/python -m pip install -q -c constraints.txt --no-build-isolation \
		$(PACKAGES:%=-e packages/%) -e platform
	touch $@
