PYTHON ?= python3
BIN := .venv/bin
PACKAGES := packages/pollengate packages/pollengate-settings packages/pollengate-net packages/pollengated packages/pollengate-cli packages/pollengate-standins platform
EDITABLE := $(foreach package,$(PACKAGES),--editable $(package))

# uv trusts the certificates that pip trusts.
export UV_SYSTEM_CERTS := 1

.PHONY: capacity setup run serve test check format lock messages

setup: .venv/.ready

.venv/.ready: requirements.lock $(foreach package,$(PACKAGES),$(package)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	test -x $(BIN)/uv || $(BIN)/pip install --quiet uv
	$(BIN)/uv pip install --quiet --python $(BIN)/python --requirement requirements.lock
	$(BIN)/uv pip install --quiet --python $(BIN)/python --no-deps $(EDITABLE)
	touch .venv/.ready

run: setup  ## Starts the whole system on loopback, drives it over HTTP and stops it.
	$(BIN)/python scripts/local_run.py

serve: setup  ## Starts the whole system on loopback and leaves it up until interrupted.
	$(BIN)/python scripts/local_run.py --serve

test: setup  ## Runs every test.
	$(BIN)/python scripts/run_tests.py

format: setup
	$(BIN)/black --quiet .
	$(BIN)/ruff check --quiet --fix .

check: setup  ## Formatter, linter, types and import direction.
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

lock: setup  ## Pins every dependency; the lock names no index.
	$(BIN)/uv lock --quiet
	$(BIN)/uv export --quiet --frozen --no-emit-workspace --no-header --no-annotate --output-file requirements.lock
	$(BIN)/uv export --quiet --frozen --package pollengated --no-dev --no-emit-workspace --no-header --no-annotate --output-file deploy/requirements.txt

messages: setup  ## Generates the message classes from proto/.
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc --proto_path=proto \
		--python_out=packages/pollengate-net --pyi_out=packages/pollengate-net \
		--grpclib_python_out=packages/pollengate-net proto/pollengate_net/messages/*.proto

capacity: setup  ## Measures the slopes behind docs/CAPACITY.md and rewrites its tables.
	$(BIN)/python -m benchmarks.capacity
