PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: env demo test lint format binary proto guards measure-audit slopes \
  measure

env: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: env
	PYTHONPATH=. $(BIN)/python tools/demo.py

test: env
	$(BIN)/pytest -n 4 --dist loadfile

slopes: env
	PYTHONPATH=. $(BIN)/python tools/slopes.py $(SLOPES)

lint: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

binary: env
	mkdir -p dist
	$(BIN)/pex --disable-cache . --console-script persimmonsail \
	  --output-file dist/persimmonsail

proto: env
	cd src && ../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	  --grpclib_python_out=. persimmonsail/control.proto

guards: env
	PYTHONPATH=. $(BIN)/python tools/guards.py

measure-audit: env
	PYTHONPATH=. $(BIN)/python tools/measure_audit.py

measure: env
	PYTHONPATH=. $(BIN)/python tools/measure.py $(MEASURE)
