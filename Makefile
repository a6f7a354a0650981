PYTHON ?= python3
VENV ?= .venv
PY := $(VENV)/bin/python
SEEDS ?= 200
FAULT_SEEDS ?= 50
export PYTHONPATH := .
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup demo test lint format bench soak fault-soak

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements-dev.txt
	touch $@

demo: setup
	$(PY) -m foxtailpick demo

test: setup
	$(PY) -m pytest -n 4 --ignore-glob='*/test_crowd_*.py'
	$(PY) -m pytest -n 0 foxtailpick/tests/test_crowd_*.py

lint: setup
	$(PY) -m ruff format --check foxtailpick
	$(PY) -m flake8 foxtailpick

format: setup
	$(PY) -m ruff format foxtailpick

bench: setup
	$(PY) -m foxtailpick.bench

soak: setup
	$(PY) -m foxtailpick.bench.soak --scenario claims patches --seeds $(SEEDS)

fault-soak: setup
	$(PY) -m foxtailpick.bench.soak --scenario gateway silence limits versions departures --seeds $(FAULT_SEEDS)
