PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PIP := $(BIN)/python -m pip --quiet --disable-pip-version-check
STAMP := $(VENV)/.installed
SOURCES := $(wildcard packages/*/src) platform tools
PACKAGES := $(dir $(wildcard packages/*/pyproject.toml))
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(abspath $(SOURCES)))
export PYTHONHASHSEED := 0

.PHONY: check
.PHONY: clean
.PHONY: demo
.PHONY: docs
.PHONY: experiment
.PHONY: explore-consensus
.PHONY: explore-flows
.PHONY: explore-membership
.PHONY: find-known-faults
.PHONY: format
.PHONY: measure-blocking
.PHONY: measure-capacity
.PHONY: measure-control
.PHONY: measure-crest
.PHONY: measure-flows
.PHONY: measure-pools
.PHONY: measure-start
.PHONY: measure-steering
.PHONY: measure-uneven
.PHONY: setup
.PHONY: soak
.PHONY: test

setup: $(STAMP)

$(STAMP): constraints.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(PIP) install --requirement constraints.txt
	$(PIP) install --no-deps --no-build-isolation \
	    $(addprefix --editable ,$(PACKAGES))
	touch $@

demo: setup
	$(BIN)/python tools/demo.py

experiment: setup
	$(BIN)/python tools/experiment.py $(FILE)

test: setup
	$(BIN)/python tools/scenarios.py

measure-capacity: setup
	$(BIN)/python tools/measure_capacity.py

measure-flows: setup
	$(BIN)/python tools/measure_flows.py

measure-crest: setup
	$(BIN)/python tools/measure_crest.py

measure-blocking: setup
	$(BIN)/python tools/measure_blocking.py

check: setup
	$(BIN)/ruff format --check packages platform tests tools
	$(BIN)/ruff check packages platform tests tools
	$(BIN)/flake8 packages platform tests tools
	$(BIN)/mypy packages/*/src platform tools

explore-consensus: setup
	$(BIN)/python tools/explore_consensus.py --seeds $(or $(SEEDS),20)

explore-flows: setup
	$(BIN)/python tools/explore_flows.py --seeds $(or $(SEEDS),0-499)

find-known-faults: setup
	$(BIN)/python tools/find_known_faults.py

explore-membership: setup
	MEMBERSHIP_EXAMPLES=$(or $(RUNS),1000) \
	    $(BIN)/python tools/scenarios.py tests/core/membership
	$(BIN)/python tools/explore_membership.py \
	    --seeds $(or $(SEEDS),0-999)

soak: export PYTHONPATH := $(PYTHONPATH):tests/platform:tests/soak
soak: setup
	$(BIN)/python tests/soak/soak.py --seeds $(or $(SEEDS),0-4) \
	    --length $(or $(LENGTH),15) --kinds $(or $(KINDS),stops)

format: setup
	$(BIN)/ruff format packages platform tests tools
	$(BIN)/ruff check --fix packages platform tests tools

measure-pools: export PYTHONPATH := $(PYTHONPATH):tests/core/passthrough:tests/core/passthrough/steps
measure-pools: setup
	$(BIN)/python tests/core/passthrough/pool_table.py

measure-uneven: export PYTHONPATH := $(PYTHONPATH):tests/core/passthrough
measure-uneven: setup
	$(BIN)/python tests/core/passthrough/uneven_table.py

measure-start: setup
	$(BIN)/python tools/measure_start.py

measure-steering: setup
	$(BIN)/python tools/measure_steering.py

measure-control: setup
	$(BIN)/python tools/measure_control.py
docs: setup
	$(BIN)/python tools/write_docs.py

clean:
	rm -rf $(VENV) build
