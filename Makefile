BUILD ?= build
SEED ?= 1
STEPS ?= 200000
SEEDS ?= 5

.PHONY: all packages configure build test demo bench soak capacity format check-format lint

all: build

packages:
	scripts/install_packages.sh

configure: packages
	cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: configure
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	$(BUILD)/masticshunt demo

bench: build
	$(BUILD)/masticshunt bench --seed $(SEED)

soak: build
	$(BUILD)/soak --seed $(SEED) --steps $(STEPS)
	$(BUILD)/policy_bench --seed $(SEED) --chain $(STEPS)
	$(BUILD)/process_soak --program=$(BUILD)/masticshunt --seed=$(SEED) --seeds=$(SEEDS) \
	  --also=tests/process_soak/failed_seeds.txt --logs=$(BUILD)/process-soak-logs
	$(BUILD)/process_soak --program=$(BUILD)/masticshunt --seed=$(SEED) --seeds=$(SEEDS) \
	  --drills=2 --logs=$(BUILD)/process-soak-logs-drills
	$(BUILD)/drill_soak --seed $(SEED)

capacity: build
	$(BUILD)/capacity

format:
	git ls-files '*.h' '*.cpp' | xargs clang-format -i

check-format:
	git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror

lint: configure
	scripts/lint.sh $(BUILD)
