PYTHON ?= python3.11
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: run test lint bench faults slopes check-specs schemas soak soak-regressions report lock

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install -q --require-hashes -r requirements.lock
	$(RUN) -m pip install -q --no-deps --no-build-isolation -e .
	touch $@

run: $(VENV)/.installed
	$(RUN) -m bench.demo

test: $(VENV)/.installed
	$(RUN) -m tools.known_red

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check src tests stand_ins bench soak specs tools
	$(VENV)/bin/flake8 src tests stand_ins bench soak specs tools

check-specs: $(VENV)/.installed
	$(RUN) -m specs

bench: $(VENV)/.installed
	$(RUN) -m bench

faults: $(VENV)/.installed
	$(RUN) -m bench.faults

soak: $(VENV)/.installed
	$(RUN) -m soak --first $(or $(SEED),1) --count $(or $(SEEDS),2)
	$(RUN) -m soak --layout 13-vms --first $(or $(SEED),1)

soak-regressions: $(VENV)/.installed
	$(RUN) -m soak --regressions

schemas: $(VENV)/.installed
	$(RUN) -m tools.schemas schemas

report: $(VENV)/.installed
	$(RUN) -m tools.report --output bench/out/report.html

slopes: $(VENV)/.installed
	$(RUN) -m bench.slopes

lock: $(VENV)/.installed
	$(RUN) -m pip install -q pip-tools
	$(RUN) -m piptools compile -q --extra dev --generate-hashes --allow-unsafe \
		--no-header --no-annotate --no-emit-index-url --no-emit-trusted-host \
		--no-emit-find-links -o requirements.lock pyproject.toml
	$(RUN) -m tools.lock
