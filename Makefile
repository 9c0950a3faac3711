VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SOURCES := $(wildcard cicadadoor tests examples measure)

.PHONY: install test codestyle format demo measure soak clean

install: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

test: install codestyle
	$(PY) -m pytest

codestyle: install
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)

format: install
	$(VENV)/bin/ruff check --fix $(SOURCES)
	$(VENV)/bin/ruff format $(SOURCES)

demo: install
	$(PY) -m tests.demo

# SEED, COUNT, LENGTH (seconds), HOSTS and WORKERS may be given, each with those before it.
soak: install
	$(PY) -m tests.soak $(SEED) $(COUNT) $(LENGTH) $(HOSTS) $(WORKERS)

measure: install
	$(PY) -m measure

clean:
	rm -rf $(VENV) build dist *.egg-info
