# `make demo` and `make test` need nothing but Python 3.11 and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format modelcheck soak bench measure capacity trace thrift

BENCHES := forwarding gateway lookup distribution log_restart
MEASURES := limits routing moves overload
# A seed that ever failed stays here. 3: a change was 2.6 s late behind a paused
# relay.
SOAK_SEEDS := 1 2 3
CAPACITIES := idle lookup membership distribution targets limits loads peer_cost

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .
	$(BIN)/mypy oleanderpin

test: lint
	$(BIN)/python -m specs
	$(BIN)/python -m soak --seeds $(SOAK_SEEDS)
	$(BIN)/python -m pytest

modelcheck: $(STAMP)
	$(BIN)/python -m specs --full

# Fresh seeds, for about half an hour; a seed that fails is added to SOAK_SEEDS.
soak: $(STAMP)
	$(BIN)/python -m soak --count 50

# Speed of one instance and of the control group.
bench: $(STAMP)
	for name in $(BENCHES); do $(BIN)/python -m bench.$$name || exit 1; done

# Decisions against the baselines, with fixed seeds.
measure: $(STAMP)
	for name in $(MEASURES); do $(BIN)/python -m bench.$$name || exit 1; done

# Slopes for docs/CAPACITY.md.
capacity: $(STAMP)
	for name in $(CAPACITIES); do $(BIN)/python -m bench.$$name || exit 1; done

# Records a run with faults and checks its outcomes.
trace: $(STAMP)
	mkdir -p build && $(BIN)/python -m bench.record_trace build/trace.jsonl

format: $(STAMP)
	$(BIN)/ruff format .

# The compiler makes exceptions immutable, also the attributes that Python sets
# on every exception (__traceback__ in contextlib): only the fields shall be.
THRIFT_FIELDS_ONLY := sed -i -E '/^    def __(set|del)attr__\(self, \*args\):$$/{p; \
  s/def (__[a-z]+__).*/    if args[0] not in self.__slots__:\n            return super().\1(*args)/}'

# Needs the Thrift compiler (Debian package thrift-compiler); its output is
# committed, so that no other target needs it.
thrift:
	for file in oleanderpin/wire/*.thrift; do \
	  rm -rf build/thrift && mkdir -p build/thrift && \
	  thrift --gen py:slots -out build/thrift $$file && \
	  rm -f build/thrift/oleanderpin/wire/generated/*/*-remote && \
	  $(THRIFT_FIELDS_ONLY) build/thrift/oleanderpin/wire/generated/*/ttypes.py && \
	  cp -r build/thrift/oleanderpin/wire/generated/*/ oleanderpin/wire/generated/ ; done
