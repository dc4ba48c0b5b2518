# The everyday commands. `make demo` and `make test` are all that a newcomer needs.
DEPLOYMENT ?= portavia
MINUTES ?= 3
SEED ?=
BUILD_DIR ?= build

.PHONY: demo build test check-format check-layers check-tidy test-sanitized mutants soak packages clean

packages:
	@scripts/install-packages.sh

build: packages
	@cmake -S . -B $(BUILD_DIR) -G Ninja -DCMAKE_BUILD_TYPE=Release $(CMAKE_FLAGS) > $(BUILD_DIR).configure.log 2>&1 || (cat $(BUILD_DIR).configure.log; exit 1)
	@cmake --build $(BUILD_DIR)

demo: build
	@scripts/demo.sh $(BUILD_DIR) $(DEPLOYMENT)

# Tests named in KNOWN-RED.txt are red for a real fault: they are printed and left out.
KNOWN_RED := $(shell sed -n 's/:.*//p' KNOWN-RED.txt | paste -sd '|')

test: build
	@sed 's/^/known red, left out: /' KNOWN-RED.txt
	@ctest --test-dir $(BUILD_DIR) --output-on-failure -j $$(nproc) $(if $(KNOWN_RED),-E '^($(KNOWN_RED))$$')

check-format:
	@scripts/check-format.sh

check-layers:
	@scripts/check-layers.sh

check-tidy: build
	@scripts/check-tidy.sh $(BUILD_DIR)

test-sanitized:
	@$(MAKE) --no-print-directory test BUILD_DIR=build-sanitized CMAKE_FLAGS="-DCYPRESSWALL_SANITIZE=ON"

mutants: build
	@scripts/run-mutants.sh

soak: build
	@$(BUILD_DIR)/bin/cypresswall-soak --minutes $(MINUTES) $(if $(SEED),--seed $(SEED))

clean:
	rm -rf build build-sanitized *.configure.log
