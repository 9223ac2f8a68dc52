PYTHON ?= python3
VENV := .venv
# Test processes side by side; each starts sites of its own.
LANES ?= 4
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: setup demo test lint types unit format

setup: $(READY)

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $(READY)

.PHONY: measure
measure: setup
	$(BIN)/python -m bench.path

.PHONY: slopes
slopes: setup
	$(BIN)/python -m bench.slopes

demo: setup
	$(BIN)/python -m demo

test: setup lint types unit

lint:
	$(BIN)/ruff format --check .
	$(BIN)/flake8 src standins tests demo bench soak

types:
	$(BIN)/mypy

# Tests with a line "test: ID" in KNOWN-RED.txt are run and shown apart; only
# these may fail.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt)

unit:
	$(BIN)/python -m pytest -n $(LANES) $(foreach id,$(KNOWN_RED),--deselect '$(id)')
	-$(foreach id,$(KNOWN_RED),$(BIN)/python -m pytest -q '$(id)';)

# Random faults against real processes; without SEED a new one is drawn.
SECONDS ?= 60
.PHONY: soak
soak: setup
	$(BIN)/python -m soak --seconds $(SECONDS) $(if $(SEED),--seed $(SEED))

format: setup
	$(BIN)/ruff format .

.PHONY: prove-red
prove-red: setup
	$(BIN)/python -m tests.prove_red

# The cases of the independent review, each with its trouble and without; one
# run takes a minute or two. None is part of `make test`.
REVIEWS ?= 1 2 3 4 5
.PHONY: review
review: setup
	$(BIN)/python -m tests.review_runs $(REVIEWS)
