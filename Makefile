# Every target sets up its own environment in .venv from the locked versions.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test bench hop faults soak lint format wire clean

$(VENV)/ready: requirements.lock pyproject.toml
	command -v $(PYTHON) >/dev/null && $(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(VENV)/ready

demo: $(VENV)/ready
	$(BIN)/caroblead demo --settings examples/anatolia.json

test: $(VENV)/ready
	$(BIN)/python -m pytest

bench: $(VENV)/ready
	$(BIN)/python -m caroblead.bench
	$(BIN)/python -m caroblead.bench.dispatch
	$(BIN)/python -m caroblead.bench.backlog
	$(BIN)/python -m caroblead.bench.durations

faults: $(VENV)/ready
	$(BIN)/python -m caroblead.bench.faults --seeds 40
	$(BIN)/python -m caroblead.bench.trial --seeds 100

hop: $(VENV)/ready
	$(BIN)/python -m caroblead.bench.hop

soak: $(VENV)/ready
	$(BIN)/python -m caroblead.bench.soak --seeds 50
	$(BIN)/python -m caroblead.bench.plannedsoak --seeds 10
	$(BIN)/python -m caroblead.bench.deployedsoak --seeds 10

lint: $(VENV)/ready
	$(BIN)/black --check --quiet caroblead
	$(BIN)/ruff check --quiet caroblead

format: $(VENV)/ready
	$(BIN)/black --quiet caroblead
	$(BIN)/ruff check --quiet --fix caroblead

wire:
	mkdir -p build/wire
	thrift --gen py:slots -out build/wire caroblead/wire/messages.thrift
	cp build/wire/messages/ttypes.py caroblead/wire/gen/ttypes.py
