# Every target works on a fresh machine with python3 (3.11), pip and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := marigoldlift standins demo bench tests
# The older slices have faults that mypy reports; they are checked once those are mended.
TYPED := $(addprefix marigoldlift/,answer_deadline.py decoding.py supervision.py cell.py cell_node.py submissions replication leadership orders runtimes scheduling workspaces \
	$(addprefix platform/,addresses.py advice.py draining_server.py callers.py calls.py configuration.py front.py keys.py node_settings.py placement_requests.py replies.py servers.py settings_watch.py \
	store.py store_route.py submission_parsing.py wire.py workers.py workspace_parsing.py))
# Tests that start no processes run side by side; each integration test starts up to 20 of its own, so those run one by one.
TEST_PROCESSES := 4
DESELECTED = $$(sed -n "s/^test: /--deselect=/p" KNOWN-RED.txt)
export PYTHONPATH := $(CURDIR)

.PHONY: demo test bench binary lint format unit fuzz clean

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo

lint: $(VENV)/.installed
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy --follow-imports=silent --exclude '/tests/' $(TYPED)

format: $(VENV)/.installed
	$(BIN)/ruff format $(SOURCES)

unit: $(VENV)/.installed
	@cat KNOWN-RED.txt
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) -m "not fuzz and not integration" $(DESELECTED)
	$(BIN)/python -m pytest -m integration $(DESELECTED)

test: lint unit

fuzz: $(VENV)/.installed
	PYTHONHASHSEED=0 $(BIN)/python -m pytest -m fuzz

bench: $(VENV)/.installed
	$(BIN)/python -m bench

# Libraries are unpacked at the first start, under SHIV_ROOT, since their extension modules cannot be loaded from an
# archive; so what is not imported at run time is left out. The project's own code is imported from the archive.
# SHIV_COMPILE_PYC must not be set when it runs: compiling would start child processes.
binary: $(VENV)/.installed
	rm -rf build/site build/own dist/marigoldlift
	mkdir -p build/own dist
	$(BIN)/pip install --quiet --no-compile --target build/site -r requirements.txt
	cd build/site && rm -rf bin setuptools* pkg_resources _distutils_hack pbr* *.pth
	find build/site -type d -name tests -prune -exec rm -rf {} +
	find build/site -type f \( -name '*.pyi' -o -name '*.py[xd]' -o -name '*.pxi' -o -name '*.[ch]' -o -name '*.hash' \
		-o -name '_testcapi*' \) -delete
	cp -r marigoldlift build/own/
	find build/own -type d \( -name tests -o -name __pycache__ \) -prune -exec rm -rf {} +
	$(BIN)/python -m compileall -q -b --invalidation-mode unchecked-hash -s build/own build/own
	$(BIN)/shiv --site-packages build/site --compressed -p '/usr/bin/env python3' \
		-e marigoldlift.cmdline:main -o dist/marigoldlift
	cd build/own && ../../$(BIN)/python -c 'import pathlib, zipfile; \
		archive = zipfile.ZipFile("../../dist/marigoldlift", "a", zipfile.ZIP_DEFLATED); \
		[archive.write(path) for path in sorted(pathlib.Path().rglob("*"))]; archive.close()'

clean:
	rm -rf build dist
