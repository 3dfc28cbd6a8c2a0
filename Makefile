PYTHON ?= python3
BIN := .venv/bin
PACKAGES := packages/pollengate packages/pollengate-settings packages/pollengate-net packages/pollengated packages/pollengate-cli packages/pollengate-standins platform
EDITABLE := $(foreach package,$(PACKAGES),--editable $(package))

# Used only by roles that are not deployed; litestar loads pydantic at each start if it is there.
NOT_DEPLOYED := annotated-types pydantic pydantic-core typing-inspection

# Makes uv use the certificates of the system, as pip does.
export UV_SYSTEM_CERTS := 1

.PHONY: capacity setup run serve test check format lock messages

setup: .venv/.ready

.venv/.ready: requirements.lock $(foreach package,$(PACKAGES),$(package)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	test -x $(BIN)/uv || $(BIN)/pip install --quiet uv
	$(BIN)/uv pip install --quiet --python $(BIN)/python --requirement requirements.lock
	$(BIN)/uv pip install --quiet --python $(BIN)/python --no-deps $(EDITABLE)
	touch .venv/.ready

run: setup  ## Runs the whole system on loopback, sends it requests over HTTP and stops it.
	$(BIN)/python scripts/local_run.py

serve: setup  ## Runs the whole system on loopback until interrupted.
	$(BIN)/python scripts/local_run.py --serve

test: setup  ## Runs all tests.
	$(BIN)/python scripts/run_tests.py

format: setup
	$(BIN)/black --quiet .
	$(BIN)/ruff check --quiet --fix .

check: setup  ## Checks format, lint rules, types and the import contracts.
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

lock: setup  ## Pins all dependencies, without the address of a package index.
	$(BIN)/uv lock --quiet
	$(BIN)/uv export --quiet --frozen --no-emit-workspace --no-header --no-annotate --output-file requirements.lock
	$(BIN)/uv export --quiet --frozen --package pollengated --no-dev --no-emit-workspace --no-header --no-annotate $(addprefix --no-emit-package ,$(NOT_DEPLOYED)) --output-file deploy/requirements.txt

messages: setup  ## Generates the message and service classes from proto/.
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc --proto_path=proto \
		--python_out=packages/pollengate-net --pyi_out=packages/pollengate-net \
		--grpclib_python_out=packages/pollengate-net proto/pollengate_net/messages/*.proto

capacity: setup  ## Runs the capacity measurements and rewrites the tables of docs/CAPACITY.md.
	$(BIN)/python -m benchmarks.capacity
