# savoryway - build, checks and measurements.  "make help" lists the targets.

CC ?= gcc
BUILD ?= build
PREFIX ?= /usr/local
SANITIZE ?= 0
COVERAGE ?= 0
MUTANTS ?= 0

PACKAGES := libevent libpq jansson libtirpc libsodium libxxhash
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES))
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES))

CFLAGS ?= -O2 -g
WARNINGS := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
            -Wmissing-prototypes -Wpointer-arith
ALL_CFLAGS := -std=gnu11 -D_GNU_SOURCE -Isrc -I. -Itests/fuzz -Ibench $(WARNINGS) $(CFLAGS) \
              $(patsubst -I%,-isystem %,$(PKG_CFLAGS)) -MMD -MP
ALL_LIBS := $(PKG_LIBS) -lm
ifeq ($(SANITIZE),1)
ALL_CFLAGS += -fsanitize=address,undefined -fno-sanitize-recover=undefined \
              -fno-omit-frame-pointer
ALL_LIBS += -fsanitize=address,undefined
endif
ifeq ($(COVERAGE),1)
ALL_CFLAGS += --coverage -O0
ALL_LIBS += --coverage
endif
ifeq ($(MUTANTS),1)
ALL_CFLAGS += -DMUTANTS
endif

# rpcgen's output is committed; it is not held to the warnings.
GENERATED := src/port/peer_xdr.c

LIB_SRC := $(filter-out src/main.c,$(wildcard src/*/*.c platform/*.c))
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libsavoryway.a

PG_STANDIN_SRC := $(wildcard tests/standin/pg_*.c)
PLATFORM_STANDIN_SRC := $(wildcard tests/standin/platform_*.c)
FLEET_STANDIN_SRC := $(wildcard tests/standin/fleet_*.c)
STANDIN_SRC := $(wildcard tests/standin/standin_*.c)
UNIT_SRC := $(wildcard tests/unit/test_*.c)
HARNESS_SRC := $(wildcard tests/fuzz/sim_*.c)
FLEET_SRC := $(wildcard tests/fleet/fleet_*.c)
LOAD_SRC := $(wildcard bench/load_*.c)
BENCH_SRC := $(wildcard bench/bench_*.c)

UNIT_BIN := $(UNIT_SRC:tests/unit/%.c=$(BUILD)/%)
BENCH_BIN := $(BENCH_SRC:bench/%.c=$(BUILD)/%)
STANDINS := $(if $(PG_STANDIN_SRC),$(BUILD)/pg_standin) $(if $(PLATFORM_STANDIN_SRC),$(BUILD)/platform_standin) $(BUILD)/fleet_standin

obj = $(patsubst %.c,$(BUILD)/%.o,$(1))

.PHONY: all
all: $(BUILD)/savoryway

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	@echo "  CC $@"
	@$(CC) $(ALL_CFLAGS) $(if $(filter $<,$(GENERATED)),-w) -c -o $@ $<

$(LIB): $(LIB_OBJ)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/savoryway: $(BUILD)/src/main.o $(LIB)
	@echo "  LD $@"
	@$(CC) -o $@ $^ $(ALL_LIBS)

$(BUILD)/pg_standin: $(call obj,$(PG_STANDIN_SRC) $(STANDIN_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) -o $@ $^ $(ALL_LIBS)

$(BUILD)/platform_standin: $(call obj,$(PLATFORM_STANDIN_SRC) $(STANDIN_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) -o $@ $^ $(ALL_LIBS)

$(BUILD)/fleet_standin: $(call obj,$(FLEET_STANDIN_SRC) $(STANDIN_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) -o $@ $^ $(ALL_LIBS)

$(UNIT_BIN): $(BUILD)/%: $(BUILD)/tests/unit/%.o $(call obj,$(HARNESS_SRC) $(FLEET_SRC) $(LOAD_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) -o $@ $^ -lcheck -lsubunit -lpthread -lrt $(ALL_LIBS)

SOAK_MEMBER_SRC := tests/soak/soak_member.c
SOAK_SESSIONS_SRC := $(addprefix tests/soak/soak_,sessions.c caller.c oracle.c) tests/standin/fleet_record.c

$(BUILD)/soak_config: $(call obj,tests/soak/soak_config.c $(SOAK_MEMBER_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) -o $@ $^ $(ALL_LIBS)

$(BUILD)/soak_sessions: $(call obj,$(SOAK_SESSIONS_SRC) $(SOAK_MEMBER_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) -o $@ $^ $(ALL_LIBS)

# Hosts as processes, and faults in series: changes of the configuration (a
# minute a seed), and sessions on instances that stutter (half a minute).
SOAK_SEEDS ?= 1
.PHONY: soak soak-config soak-sessions
soak: soak-config soak-sessions

soak-config: all standins $(BUILD)/soak_config
	@$(BUILD)/soak_config --logs=$(BUILD) $(SOAK_SEEDS)

soak-sessions: all standins $(BUILD)/soak_sessions
	@$(BUILD)/soak_sessions --logs=$(BUILD) $(SOAK_SEEDS)

$(BENCH_BIN): $(BUILD)/%: $(BUILD)/bench/%.o $(call obj,$(HARNESS_SRC) $(LOAD_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) -o $@ $^ $(ALL_LIBS)

.PHONY: standins
standins: $(STANDINS)

# Runs every unit test; the last line gives the total.  What is missing is
# installed first, so make is started again to find it.
.PHONY: check
check:
	@sh tools/install-deps.sh
	@$(MAKE) --no-print-directory run-checks

.PHONY: run-checks
run-checks: all standins $(UNIT_BIN)
	@sh tests/run_checks.sh $(UNIT_BIN)

# Schedules of faults against the decision core, on virtual time.
$(BUILD)/fuzz_core: $(call obj,tests/fuzz/fuzz_core.c $(HARNESS_SRC)) $(LIB)
	@echo "  LD $@"
	@$(CC) -o $@ $^ $(ALL_LIBS)

SEEDS ?= 10000
.PHONY: fuzz-seeds
fuzz-seeds: $(BUILD)/fuzz_core
	@sh tests/fuzz/run_seeds.sh $(BUILD)/fuzz_core $(SEEDS)

# Coverage-guided, for TIME seconds.
TIME ?= 60
.PHONY: fuzz
fuzz:
	$(MAKE) BUILD=$(BUILD)/engine CC=clang build_fuzz_engine
	mkdir -p $(BUILD)/corpus
	$(BUILD)/engine/fuzz_engine -max_total_time=$(TIME) -max_len=600 -len_control=0 \
	  -timeout=60 -artifact_prefix=$(BUILD)/ $(BUILD)/corpus

.PHONY: fuzz-parsers
fuzz-parsers:
	$(MAKE) BUILD=$(BUILD)/engine CC=clang build_fuzz_engine
	$(BUILD)/engine/fuzz_parsers -max_total_time=$(TIME) -artifact_prefix=$(BUILD)/

.PHONY: build_fuzz_engine
build_fuzz_engine: ALL_CFLAGS += -fsanitize=fuzzer-no-link,address -DFUZZ_ENGINE
build_fuzz_engine: $(BUILD)/fuzz_engine $(BUILD)/fuzz_parsers
$(BUILD)/fuzz_engine: $(call obj,tests/fuzz/fuzz_core.c $(HARNESS_SRC)) $(LIB)
	$(CC) -fsanitize=fuzzer,address -o $@ $^ $(ALL_LIBS)

$(BUILD)/fuzz_parsers: $(call obj,tests/fuzz/fuzz_parsers.c tests/fuzz/sim_parsers.c) $(LIB)
	$(CC) -fsanitize=fuzzer,address -o $@ $^ $(ALL_LIBS)

# Deliberate faults that the schedules must catch.
LIST ?= tests/fuzz/mutants.txt
.PHONY: mutants
mutants:
	$(MAKE) BUILD=$(BUILD)/mutants MUTANTS=1 $(BUILD)/mutants/fuzz_core
	@sh tests/fuzz/run_mutants.sh $(BUILD)/mutants/fuzz_core $(LIST)

# The same for the proxy on the users' platform.
.PHONY: mutants-fleet
mutants-fleet:
	$(MAKE) BUILD=$(BUILD)/mutants MUTANTS=1 $(BUILD)/mutants/test_fleet
	@sh tests/fleet/run_mutants.sh $(BUILD)/mutants/test_fleet tests/fleet/mutants.txt
	$(MAKE) BUILD=$(BUILD)/mutants MUTANTS=1 $(BUILD)/mutants/test_allowance
	@sh tests/fleet/run_mutants.sh $(BUILD)/mutants/test_allowance tests/unit/mutants_allowance.txt

.PHONY: generate
generate:
	cd src/port && rpcgen -C -h peer.x > peer.h && rpcgen -C -c peer.x > peer_xdr.c

SOURCES = $(filter-out $(GENERATED) src/port/peer.h,$(shell git ls-files '*.c' '*.h'))

.PHONY: format
format:
	clang-format -i $(SOURCES)

.PHONY: check-format
check-format:
	clang-format --dry-run -Werror $(SOURCES)

LINT_SRC = $(filter %.c,$(SOURCES))
.PHONY: lint
lint:
	@printf '%s\n' $(LINT_SRC) | xargs -P $$(nproc) -n 1 sh -c 'clang-tidy --quiet "$$0" -- -std=gnu11 -D_GNU_SOURCE -Isrc -I. -Itests/fuzz -Ibench $(PKG_CFLAGS) 2>build/lint.$$$$.err || { cat build/lint.$$$$.err; exit 1; }'

# Three hosts and the stand-ins on loopback; prints what happens.
.PHONY: demo
demo:
	@sh tools/install-deps.sh
	@$(MAKE) --no-print-directory -s $(if $(filter -j%,$(MAKEFLAGS)),,-j4) all standins
	@bash tests/demo.sh $(BUILD)
	@bash tests/demo_platform.sh $(BUILD)

# Figures beside their targets, those of the whole path first; BENCH=path
# runs only that one.
MEASURED := $(if $(BENCH),$(BENCH:%=$(BUILD)/bench_%),$(sort $(BENCH_BIN)))
MEASURED := $(filter %/bench_path,$(MEASURED)) $(filter-out %/bench_path,$(MEASURED))
.PHONY: measure
measure: all standins $(MEASURED)
	@for program in $(MEASURED); do echo "== $$(basename $$program)"; $$program || exit 1; done

# Writes below $(DESTDIR)$(PREFIX).
.PHONY: install
install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 \
	  $(DESTDIR)$(PREFIX)/share/bash-completion/completions $(DESTDIR)$(PREFIX)/share/savoryway
	install -m 755 $(BUILD)/savoryway $(DESTDIR)$(PREFIX)/bin/savoryway
	$(BUILD)/savoryway man > $(DESTDIR)$(PREFIX)/share/man/man1/savoryway.1
	install -m 644 share/savoryway.bash $(DESTDIR)$(PREFIX)/share/bash-completion/completions/savoryway
	install -m 644 share/savoryway.service $(wildcard share/*.sql) $(DESTDIR)$(PREFIX)/share/savoryway

.PHONY: clean
clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
