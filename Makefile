VENV := .venv
PY := $(VENV)/bin/python
CODE := mimosaworks standins bench tests

.PHONY: setup demo test format check

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements.lock
	$(PY) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(PY) -m bench.demo

format: setup
	$(VENV)/bin/ruff check --select I,UP --fix --quiet $(CODE)
	$(VENV)/bin/ruff format --quiet $(CODE)

check: setup
	$(VENV)/bin/ruff format --check $(CODE)
	$(VENV)/bin/ruff check $(CODE)
	$(VENV)/bin/flake8 $(CODE)
	$(VENV)/bin/mypy

test: check
	$(PY) -m pytest -n 6 --dist loadfile tests
