# README commands: `make demo` and `make check`. `make measure` prints figures.
BUILD ?= build
JOBS ?= $(shell nproc)
DEPLOYMENT ?= cancha-quetzal
SECONDS ?= 300

.PHONY: deps build format-check lint layers check known-red sanitize demo \
	measure format

deps:
	@bash tools/install_packages.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DPIMENTOGRADE_WERROR=ON >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.hpp' | \
		xargs clang-format -i

format-check:
	@git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run -Werror

lint: build
	@bash tools/lint.sh $(BUILD) $(JOBS)

layers:
	@python3 tools/check_layers.py

check: format-check layers build lint sanitize
	@bash tools/run_tests.sh $(BUILD)

sanitize: deps
	@bash tools/sanitize.sh build-sanitize $(JOBS)

demo: build
	@python3 tools/demo.py --build $(BUILD) --deployment $(DEPLOYMENT)

measure: build
	@python3 tools/measure.py --build $(BUILD) --seconds $(SECONDS)
