VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: venv test format lint demo binary proto

venv: $(STAMP)

$(STAMP): requirements.lock requirements-dev.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock -r requirements-dev.lock
	touch $(STAMP)

test: venv
	$(BIN)/python -m tests $(TESTS)

format: venv
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

demo: venv
	$(BIN)/python -m bluebellshore demo

binary: venv
	rm -rf build/site build/bluebellshore
	$(BIN)/pip install --quiet --target build/site -r requirements.lock
	cp -r bluebellshore build/site/
	$(BIN)/shiv --site-packages build/site --compressed --compile-pyc -e bluebellshore.cli.main:main -p '/usr/bin/env python3' -o build/bluebellshore

proto: venv
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. --pyi_out=. bluebellshore/wire/link.proto bluebellshore/wire/peer.proto
