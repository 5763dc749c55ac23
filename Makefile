BUILD ?= build
NAME ?= drain
SEED ?= 1
SEEDS ?= 1
FIRST ?= 1

.PHONY: all deps build check demo bench experiment soak lint sanitize format

all: build

deps:
	@scripts/install-deps

build: deps
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD).configure.log 2>&1 || (cat $(BUILD).configure.log; exit 1)
	@rm -f $(BUILD).configure.log
	@cmake --build $(BUILD)

check: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	@scripts/demo

bench: build
	@scripts/bench

experiment: build
	@scripts/experiment $(NAME) $(SEED)

soak: build
	@scripts/soak $(SEEDS) $(FIRST)

lint: build
	@scripts/check-format
	@scripts/check-lint

sanitize: deps
	@cmake -S . -B build-sanitize -G Ninja -DZINNIA_SANITIZE=ON > /dev/null
	@cmake --build build-sanitize
	@ctest --test-dir build-sanitize --output-on-failure -j 4

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.hpp' | xargs -r clang-format -i
