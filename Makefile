PYTHON ?= python3
BIN := .venv/bin

# The users' bench and one of its site files; neither is part of this repository.
FLEETBENCH ?= fleetbench
SITE ?=
DAYS ?= 40
JOBS ?= 3
WHY ?= make

.PHONY: setup format lint test demo demo-faults soak soak-many docs calm score hunt seeds

setup: .venv/.complete

.venv/.complete: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports --no-cache
	$(BIN)/python -m tools.catalogues --check
	$(BIN)/python -m tools.fault_table --check

test: setup
	$(BIN)/python -m pytest $(ARGS)

demo: setup
	$(BIN)/python -m demo

demo-faults: setup
	$(BIN)/python -m demo --faults

# One seed, or COUNT seeds from SEED on; a failed one leaves its folder in soak-runs/.
SEED ?= 1
COUNT ?= 50

soak: setup
	$(BIN)/python -W ignore -m soak --seed $(SEED)

soak-many: setup
	$(BIN)/python -W ignore -m soak --seed $(SEED) --count $(COUNT)

docs: setup
	$(BIN)/python -m tools.catalogues
	$(BIN)/python -m tools.fault_table

calm:
	$(FLEETBENCH) run $(SITE) quiet-1 --why "$(WHY)"

score:
	$(FLEETBENCH) score $(SITE) --jobs $(JOBS) --why "$(WHY)"

hunt:
	$(FLEETBENCH) hunt $(SITE) --days $(DAYS) --jobs $(JOBS) --why "$(WHY)"

# Replays the days of deploy/seeds.txt, which once showed a fault; each line is
# "SITE-NAME DAY SEED".
seeds:
	sh deploy/replay-seeds.sh "$(FLEETBENCH)" "$(SITE)"
