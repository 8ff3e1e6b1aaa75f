PYTHON = .venv/bin/python

.PHONY: build test lint run

build:
	cmp -s requirements.txt .venv/requirements.txt || \
	  (python3 -m venv .venv && .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/)
	$(PYTHON) -m compileall -q umbermoor

test: build
	$(PYTHON) -m tests

lint: build
	.venv/bin/pip -q install -r requirements-lint.txt
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

# LB_CONFIG is the path of the configuration file
run: build
	$(PYTHON) -m umbermoor serve
