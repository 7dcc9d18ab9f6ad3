PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: env
.PHONY: demo
.PHONY: demo-binary
.PHONY: test
.PHONY: lint
.PHONY: format
.PHONY: binary
.PHONY: proto
.PHONY: fuzz
.PHONY: guards
.PHONY: measure-audit
.PHONY: slopes
.PHONY: measure
.PHONY: emulate
.PHONY: soak
.PHONY: binds

env: $(STAMP)

$(STAMP): requirements.txt test-requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement test-requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

demo: env
	PYTHONPATH=. $(BIN)/python tools/demo.py $(PROGRAM)

test: env
	PYTHONHASHSEED=0 $(BIN)/pytest -n 4 --dist loadfile

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
	$(BIN)/python tools/binary.py

demo-binary: binary
	PYTHONPATH=. SHIV_ROOT=build/unpacked \
	  $(BIN)/python tools/demo.py dist/persimmonsail

proto: env
	cd src && PATH="$(CURDIR)/$(BIN):$$PATH" python -m grpc_tools.protoc \
	  -I. --python_out=. --grpclib_python_out=. \
	  persimmonsail/control.proto persimmonsail/jobs/fleet.proto

fuzz: env
	PYTHONPATH=. $(BIN)/python tools/fuzz.py $(FUZZ)

guards: env
	PYTHONPATH=. $(BIN)/python tools/guards.py

measure-audit: env
	PYTHONPATH=. $(BIN)/python tools/measure_audit.py

emulate: env
	PYTHONHASHSEED=0 PYTHONPATH=. $(BIN)/python tools/emulate.py $(EMULATE)

binds: env
	PYTHONPATH=. $(BIN)/python tools/binds.py $(BINDS)

soak: env
	PYTHONPATH=. $(BIN)/python tools/soak.py $(SOAK)

measure: env
	PYTHONPATH=. $(BIN)/python tools/measure.py $(MEASURE)
