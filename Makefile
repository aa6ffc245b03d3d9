# VENV may name an environment that already holds the locked packages.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
WORKERS ?= 8
SEEDS ?= 1 2 3
SHORT_SEEDS ?= 1
OUT ?= bench-out/bench.json

.PHONY: demo test env lint format unit bench bench-short bench-relay

env: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
	    -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check \
	    --no-deps --no-build-isolation -e .
	touch $@

demo: env
	$(PYTHON) -m toucanrudder demo

test: lint unit

lint: env
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m flake8 toucanrudder

# Tests that measure a process run one at a time, apart from the others.
unit: env
	$(PYTHON) -m pytest -n $(WORKERS) --alone=exclude
	$(PYTHON) -m pytest --alone=only

format: env
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .

# Options for subsets: DEPLOYMENTS= SCENARIOS= POLICIES=, names separated by
# spaces.
bench: env
	$(PYTHON) -m toucanrudder.bench --seeds="$(SEEDS)" --out="$(OUT)" \
	    --deployments="$(DEPLOYMENTS)" --scenarios="$(SCENARIOS)" \
	    --policies="$(POLICIES)"

bench-short: env
	$(PYTHON) -m toucanrudder.bench --short --seeds="$(SHORT_SEEDS)" \
	    --out="$(OUT)" --deployments="$(DEPLOYMENTS)" \
	    --scenarios="$(SCENARIOS)" --policies="$(POLICIES)"

bench-relay: env
	$(PYTHON) -m toucanrudder.bench.relay.run --out=bench-out/relay.json
