# Everyday targets for developers and operators. `make packages` installs the packages that the build needs
# (Debian); `make build` does so itself where one is missing and it runs as root.
BUILD ?= build
PACKAGES = cmake g++ make libpoco-dev libspdlog-dev nlohmann-json3-dev libcli11-dev libinih-dev libboost-dev \
  libprotobuf-dev protobuf-compiler libsqlitecpp-dev libsqlite3-dev spin \
  libgrpc++-dev protobuf-compiler-grpc libssl-dev libgtest-dev
# Only the project's own sources are formatted and linted, not the headers of libraries.
SOURCES = $(shell find src tests -name '*.cpp')

.PHONY: build needed demo measure model sites test sanitize lint format run counters packages clean

build: needed
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=ON -DPEARCHUTE_FLEET=ON -DPEARCHUTE_LAB=ON
	cmake --build $(BUILD) -j4

needed:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || { [ "$$(id -u)" = 0 ] && $(MAKE) packages; } || \
	  { echo "packages are missing; as root: make packages"; exit 1; }

# Runs stand-ins and two managers on loopback, sends statements and drains an engine; ends by itself.
demo: build
	$(BUILD)/pearchute-lab demo

# Takes some minutes and needs an otherwise idle machine. The figures are kept in docs/measurements.md.
measure: build
	$(BUILD)/pearchute-lab measure drain
	$(BUILD)/pearchute-lab measure fleet-status
	$(BUILD)/pearchute-lab measure rollout

# Checks the Spin models; installs Spin where it is missing and make runs as root.
model:
	@command -v spin >/dev/null || { [ "$$(id -u)" = 0 ] && apt-get install -y -qq spin; }
	model/check

# Copies the files that the bench needs beside this project's site files from the operators' kit; git ignores
# the copies.
KIT_SITES ?= ../given/kit/sites
sites:
	@for one in real.json wire.json unlock.txt; do \
	  [ -r $(KIT_SITES)/$$one ] || { echo "make sites: $(KIT_SITES)/$$one is missing; name its folder: make sites KIT_SITES=..."; exit 1; }; \
	  cp -f $(KIT_SITES)/$$one deploy/sites/$$one && chmod u+w deploy/sites/$$one || exit 1; \
	done; echo "deploy/sites is ready: $$(cd deploy/sites && echo *.toml)"

test: build
	ctest --test-dir $(BUILD) --output-on-failure

sanitize: needed
	cmake -B $(BUILD)-sanitized -DCMAKE_BUILD_TYPE=Release -DPEARCHUTE_STRICT=ON -DPEARCHUTE_SANITIZE=ON
	cmake --build $(BUILD)-sanitized -j4
	ctest --test-dir $(BUILD)-sanitized --output-on-failure

# The tools that lint runs. Each is in the package of its name, except run-clang-tidy, which is in clang-tidy.
LINT_TOOLS = clang-format cppcheck clang-tidy run-clang-tidy
LINT_BUILD ?= build-lint

lint:
	@for tool in $(LINT_TOOLS); do command -v $$tool >/dev/null || \
	  { echo "make lint: $$tool is missing; as root: make packages"; exit 1; }; done
	clang-format --dry-run --Werror $(SOURCES) $(shell find src tests -name '*.h')
	cppcheck --quiet -j4 --enable=warning,performance,portability --inline-suppr --error-exitcode=1 \
	  --suppress=missingInclude --suppress=useInitializationList --std=c++20 -I src src
	.ci/clang_tidy $(LINT_BUILD)

format:
	clang-format -i $(SOURCES) $(shell find src tests -name '*.h')

# make run CONFIG=/path/to/config.json
run: build
	@test -n "$(CONFIG)" || { echo "make run CONFIG=config.json: no configuration is named"; exit 2; }
	exec $(BUILD)/pearchuted --config $(CONFIG)

# make counters LISTEN=127.0.0.1:6565
counters:
	@test -n "$(LISTEN)" || { echo "make counters LISTEN=address:port: no manager is named"; exit 2; }
	@curl -s http://$(LISTEN)/counters; echo

packages:
	apt-get update -qq && apt-get install -y -qq $(PACKAGES) clang-format clang-tidy cppcheck curl

clean:
	rm -rf $(BUILD) $(BUILD)-sanitized $(LINT_BUILD) $(LINT_BUILD).log
