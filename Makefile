# make demo, make check, make measure, make capacity; see README.md.

PACKAGES = core marked config wire runtime platform driver
PROGRAMS = bluebellstand bbctl
LIBRARIES = libevent json-c glib-2.0 log4c msgpack libxxhash

# TRANSPORTS=marked leaves out GUE, and ZeroMQ with it.
TRANSPORTS ?= gue marked
ifeq ($(filter gue, $(TRANSPORTS)),)
LEFT_OUT = runtime/peers.c
else
LIBRARIES += libzmq
endif

BUILD ?= build
CC = gcc
PKG_CFLAGS := $(shell pkg-config --cflags $(LIBRARIES) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(LIBRARIES) 2>/dev/null)
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
  -Wmissing-prototypes -Wpointer-arith -Wcast-align -Wundef -Wvla
OPTIMISE ?= -O3 -flto=auto
CFLAGS = -std=gnu11 -g $(OPTIMISE) $(WARNINGS) $(SANITIZE) -I. $(PKG_CFLAGS)
LDLIBS = $(PKG_LIBS) -lm

# STATIC=1 links all but the C library statically.  This, and leaving out GUE,
# shorten the start on VMs with little processor time.
ifeq ($(filter gue, $(TRANSPORTS)),)
CFLAGS += -DBB_WITHOUT_GUE
endif
ifdef SANITIZE
CFLAGS += -DBB_CHECK_INVARIANTS
endif
ifdef STATIC
LDLIBS = -Wl,-Bstatic -levent_extra -levent_core -ljson-c -lglib-2.0 \
  -lpcre2-8 -llog4c -lexpat -lmsgpackc -lxxhash -Wl,-Bdynamic -lm -lpthread
endif

sources = $(filter-out $(1)/main.c $(1)/standins/% $(LEFT_OUT), \
  $(wildcard $(1)/*.c $(1)/*/*.c))
objects = $(patsubst %.c, $(BUILD)/%.o, $(1))

LIBS = $(foreach p, $(PACKAGES), $(if $(wildcard $(p)/*.c), $(BUILD)/lib$(p).a))
BINARIES = $(foreach p, $(PROGRAMS), \
  $(if $(wildcard $(p)/main.c), $(BUILD)/bin/$(p)))
STANDINS = $(patsubst standins/%.c, $(BUILD)/bin/standin-%, \
  $(filter-out standins/common.c, $(wildcard standins/*.c)))
TESTS = $(patsubst tests/%.c, $(BUILD)/tests/%, $(wildcard tests/*_test.c))
BENCHES = $(patsubst bench/%.c, $(BUILD)/bench/%, \
  $(filter-out bench/common%, $(wildcard bench/*.c)))
ALL_C = $(shell git ls-files --cached --others --exclude-standard '*.c' '*.h')

.PHONY: all deps demo check check-format check-lint check-tests check-sanitize \
  check-model measure capacity clean format tests

all: $(LIBS) $(BINARIES) $(STANDINS) $(BENCHES) $(BUILD)/bin/soak

deps:
	@scripts/deps.sh

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

define package
$(BUILD)/lib$(1).a: $(call objects, $(call sources,$(1)))
	@mkdir -p $$(@D)
	@rm -f $$@
	gcc-ar rcs $$@ $$^
endef
$(foreach p, $(PACKAGES), $(eval $(call package,$(p))))

define program
$(BUILD)/bin/$(1): $(call objects, $(wildcard $(1)/*.c)) $(LIBS)
	@mkdir -p $$(@D)
	$(CC) $(CFLAGS) -o $$@ $$(filter %.o, $$^) -Wl,--start-group $(LIBS) \
	  -Wl,--end-group $(LDLIBS)
endef
$(foreach p, $(filter-out bluebellstand, $(PROGRAMS)), \
  $(eval $(call program,$(p))))

$(BUILD)/bin/bluebellstand: $(call objects, bluebellstand/main.c \
  $(TRANSPORTS:%=bluebellstand/%.c)) $(LIBS)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -o $@ $(filter %.o, $^) -Wl,--start-group $(LIBS) \
	  -Wl,--end-group $(LDLIBS)

link = $(CC) $(CFLAGS) -o $@ $(filter %.o, $^) -Wl,--start-group $(LIBS) \
  -Wl,--end-group $(LDLIBS)

STANDIN_COMMON = $(call objects, $(wildcard standins/common.c standins/common/*.c))
$(BUILD)/bin/standin-%: $(BUILD)/standins/%.o $(STANDIN_COMMON) $(LIBS)
	@mkdir -p $(@D)
	$(link)

BENCH_COMMON = $(call objects, $(wildcard bench/common*.c))
$(BUILD)/bench/%: $(BUILD)/bench/%.o $(BENCH_COMMON) $(LIBS)
	@mkdir -p $(@D)
	$(link)

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(LIBS)
	@mkdir -p $(@D)
	$(link) $(shell pkg-config --libs check)

SOAK_OBJECTS = $(call objects, $(wildcard soak/*.c platform/standins/*.c))
$(BUILD)/bin/soak: $(SOAK_OBJECTS) $(LIBS)
	@mkdir -p $(@D)
	$(link)

# One seed after the other; SEEDS="1 2 3" SECONDS_EACH=30 make soak
SEEDS ?= $(shell sed -n "s/^\([0-9][0-9]*\).*/\1/p" soak/seeds.txt) 1 2 3
SECONDS_EACH ?= 30
.PHONY: soak
soak: $(BUILD)/bin/soak $(BUILD)/bin/bluebellstand
	@soak/run.sh $(BUILD) $(SECONDS_EACH) $(SEEDS)

# Load above the capacity of the servers, in simulated time; days: burst long
# short slow slots-hidden
DAY ?= burst
SEED ?= 1
.PHONY: play
play: $(BUILD)/bench/play
	@$(BUILD)/bench/play $(DAY) $(SEED)

# Balancers of this tree and of commit OLD in one fleet; make mixed OLD=COMMIT
.PHONY: mixed
mixed: deps
	@scripts/mixed.sh $(OLD)

.SECONDARY:

tests: $(TESTS)

demo: deps
	@$(MAKE) --no-print-directory -s -j all
	@demo/run.sh

check: deps
	@$(MAKE) --no-print-directory check-format
	@$(MAKE) --no-print-directory -j check-lint
	@scripts/check.sh

check-format:
	clang-format --dry-run --Werror $(ALL_C)

LINTED = $(patsubst %.c, $(BUILD)/lint/%.ok, $(filter %.c, $(ALL_C)))
check-lint: $(LINTED)

$(BUILD)/lint/%.ok: %.c .clang-tidy
	@mkdir -p $(@D)
	@cppcheck -q --std=c11 --enable=warning,portability --inline-suppr \
	  --error-exitcode=1 --suppress=missingIncludeSystem $<
	@clang-tidy --quiet $< -- -std=gnu11 -I. $(PKG_CFLAGS) 2>$@.log \
	  || { cat $@.log; exit 1; }
	@touch $@

check-model:
	@model/run.sh

measure: deps
	@$(MAKE) --no-print-directory -s -j all
	@bench/run.sh

capacity: deps
	@$(MAKE) --no-print-directory -s -j all
	@bench/capacity.sh

format:
	clang-format -i $(ALL_C)

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
