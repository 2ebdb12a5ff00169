PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check format bench capacity clean

$(VENV)/installed: requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes \
		-r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		--editable .
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m examples.demo

check: $(VENV)/installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: check
	$(BIN)/python -m tests

format: $(VENV)/installed
	$(BIN)/ruff check --fix --quiet . || true
	$(BIN)/ruff format .

bench: $(VENV)/installed
	$(BIN)/python -m bench

capacity: $(VENV)/installed
	$(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) out
