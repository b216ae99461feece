# radishchute: one binary, its tests and the stand-ins they talk to.
#
#   make                 build the binary
#   make check           build and run the numbered tests
#                        (FORMER=COMMIT: the build that runs before an upgrade)
#   make sanitize        the same under ASan and UBSan
#   make soak SEED=N     a fleet under faults, judged; see docs/SOAK.md
#   make format-check lint
#   make demo            a whole session on loopback
#   make bench           the standard measurements
#   make install         DESTDIR and PREFIX are honoured

BUILD ?= build
PREFIX ?= /usr/local
CC ?= gcc
# Jansson, not json-c: both export json_object_get, so only one may be linked.
PACKAGES = glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 jansson libtirpc
PKG_CFLAGS := $(shell pkg-config --cflags $(PACKAGES))
PKG_LIBS := $(shell pkg-config --libs $(PACKAGES))
OPTIMIZE ?= -O2
SANITIZE ?=
CFLAGS ?= -g
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
  -Wmissing-prototypes -Wno-unused-parameter -Wno-missing-field-initializers
ALL_CFLAGS = -std=gnu11 $(OPTIMIZE) $(SANITIZE) $(WARNINGS) -I. \
  $(PKG_CFLAGS) -MMD -MP $(CFLAGS)
LIBS = $(PKG_LIBS) -lm

LAYERS = base state coordination protocol transport platform
LIB_SRCS := $(filter-out protocol/peer_xdr.c,$(wildcard $(LAYERS:%=%/*.c)))
GENERATED_SRCS := $(wildcard protocol/peer_xdr.c)
COMMAND_SRCS := $(wildcard commands/*.c)
STANDIN_SRCS := $(wildcard t/standin/*.c)
SUPPORT_SRCS := $(wildcard t/support/*.c) t/fuzz/targets.c
TEST_SRCS := $(wildcard t/t[0-9]*.c)

LIB_OBJS := $(LIB_SRCS:%.c=$(BUILD)/%.o) $(GENERATED_SRCS:%.c=$(BUILD)/%.o)
COMMAND_OBJS := $(COMMAND_SRCS:%.c=$(BUILD)/%.o)
STANDIN_OBJS := $(STANDIN_SRCS:%.c=$(BUILD)/%.o)
SUPPORT_OBJS := $(SUPPORT_SRCS:%.c=$(BUILD)/%.o)
TESTS := $(TEST_SRCS:t/%.c=$(BUILD)/t/%)
PROGRAMS := $(BUILD)/radishchute $(if $(STANDIN_SRCS),$(BUILD)/standin)

BENCH_SRCS := $(wildcard bench/*.c)
BENCH_OBJS := $(BENCH_SRCS:%.c=$(BUILD)/%.o)
BENCH_CONFIG_SRCS := $(wildcard bench/config/*.c)
BENCH_SHARE_SRCS := $(wildcard bench/share/*.c)

SOAK_SRCS := $(wildcard t/soak/*.c)

HAND_SRCS := $(LIB_SRCS) $(BENCH_SRCS) $(BENCH_CONFIG_SRCS) \
  $(BENCH_SHARE_SRCS) $(COMMAND_SRCS) $(STANDIN_SRCS) $(SUPPORT_SRCS) \
  $(TEST_SRCS) $(SOAK_SRCS) $(wildcard t/fuzz/libfuzzer.c t/demo/*.c t/bench/*.c) \
  $(wildcard bench/peers/*.c)
HAND_HDRS := $(wildcard $(LAYERS:%=%/*.h) commands/*.h bench/*.h \
  bench/config/*.h bench/share/*.h t/*.h t/standin/*.h t/support/*.h \
  t/soak/*.h t/fuzz/*.h)
HAND_HDRS := $(filter-out protocol/peer_xdr.h,$(HAND_HDRS))

all: $(PROGRAMS)

$(BUILD)/libradishchute.a: $(LIB_OBJS)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/radishchute: $(COMMAND_OBJS) $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin: $(STANDIN_OBJS) $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

# An archive, so that a test which stands in for a module itself does not get
# the helpers that need the real one.
$(BUILD)/libsupport.a: $(SUPPORT_OBJS)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/t/t%: $(BUILD)/t/t%.o $(BUILD)/libsupport.a \
  $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -c -o $@ $<

# rpcgen's output does not compile cleanly under the project's warnings.
$(BUILD)/protocol/peer_xdr.o: WARNINGS = -w

# The output is committed, so that a build needs no rpcgen.
generate:
	rm -f protocol/peer_xdr.[ch]
	rpcgen -h protocol/peer.x | sed 's/_PEER_H_RPCGEN/PEER_XDR_H/' \
	  >protocol/peer_xdr.h
	rpcgen -c protocol/peer.x \
	  | sed 's|^#include ".*peer.h"|#include "protocol/peer_xdr.h"|' \
	  >protocol/peer_xdr.c

# The build that serves before an upgrade, from the history.
FORMER ?= bcea9bc
$(BUILD)/former/radishchute:
	rm -rf $(@D)
	mkdir -p $(@D)/tree
	git archive $(FORMER) | tar -xf - -C $(@D)/tree
	$(MAKE) -s -C $(@D)/tree BUILD=out out/radishchute
	cp $(@D)/tree/out/radishchute $@
	rm -rf $(@D)/tree

check: all $(TESTS) $(BUILD)/fleet-soak $(BUILD)/former/radishchute
	t/run $(BUILD) $(sort $(TESTS))

# A fleet under faults that are drawn from SEED; see docs/SOAK.md.
SEED ?= 1
SECONDS ?= 15
VMS ?= 4
WORKERS ?= 12
soak: all $(BUILD)/fleet-soak
	RADISHCHUTE_BUILD=$(BUILD) $(BUILD)/fleet-soak --seed $(SEED) \
	  --seconds $(SECONDS) --vms $(VMS) --workers $(WORKERS)

$(BUILD)/fleet-soak: $(SOAK_SRCS:%.c=$(BUILD)/%.o) $(BUILD)/libsupport.a \
  $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

# The decisions of one entry VM, against fake upstreams.
bench-decisions: $(BUILD)/bench-decisions
	$<

$(BUILD)/bench-decisions: $(BENCH_OBJS) $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

# Installs what is missing first, hence the second make.
demo:
	.ci/packages
	$(MAKE) -s -j$$(nproc) all $(BUILD)/demo
	@RADISHCHUTE_BUILD=$(BUILD) $(BUILD)/demo 2>$(BUILD)/demo.log \
	  || { cat $(BUILD)/demo.log; exit 1; }

bench: all $(BUILD)/bench-standard
	t/bench/run

$(BUILD)/demo: $(BUILD)/t/demo/main.o $(SUPPORT_OBJS) $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/bench-standard: $(BUILD)/t/bench/main.o $(SUPPORT_OBJS) \
  $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

# What a change of the configuration costs and how long it takes.
bench-config: all $(BUILD)/bench-config
	RADISHCHUTE_BUILD=$(BUILD) $(BUILD)/bench-config

$(BUILD)/bench-config: $(BENCH_CONFIG_SRCS:%.c=$(BUILD)/%.o) $(SUPPORT_OBJS) \
  $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

# How entry VMs share the upstreams of their zone.
bench-share: $(BUILD)/bench-share
	$<

$(BUILD)/bench-share: $(BENCH_SHARE_SRCS:%.c=$(BUILD)/%.o) \
  $(BUILD)/bench/workload.o $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/bench/peers/%: $(BUILD)/bench/peers/%.o $(SUPPORT_OBJS) \
  $(BUILD)/libradishchute.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)

bench-membership: all $(BUILD)/bench/peers/membership
	$(BUILD)/bench/peers/membership

bench-restart: all $(BUILD)/bench/peers/restart
	RADISHCHUTE_BUILD=$(BUILD) $(BUILD)/bench/peers/restart

# Searches for new inputs by libFuzzer, FUZZ_SECONDS for each target.  Needs
# clang with its fuzzer runtime.
FUZZ_SECONDS ?= 60
FUZZ_TARGETS := $(notdir $(wildcard t/fuzz/corpus/*))
fuzz: build-fuzz/fuzz
	for target in $(FUZZ_TARGETS); do \
	  mkdir -p build-fuzz/found/$$target; \
	  FUZZ_TARGET=$$target $< -max_total_time=$(FUZZ_SECONDS) \
	    -timeout=10 -rss_limit_mb=1024 -print_final_stats=1 \
	    -artifact_prefix=build-fuzz/$$target- \
	    build-fuzz/found/$$target t/fuzz/corpus/$$target || exit 1; \
	done

build-fuzz/fuzz: $(LIB_SRCS) $(GENERATED_SRCS) t/fuzz/targets.c \
  t/fuzz/libfuzzer.c
	@mkdir -p $(@D)
	clang -std=gnu11 -O1 -g -w -I. $(PKG_CFLAGS) \
	  -fsanitize=fuzzer,address,undefined -o $@ $^ $(LIBS)

# Writes the sessions of t/golden anew; look at the difference before the
# commit.
golden-update: all $(BUILD)/t/t9300-golden
	RADISHCHUTE_BUILD=$(BUILD) GOLDEN_UPDATE=1 $(BUILD)/t/t9300-golden \
	  >/dev/null
	git --no-pager diff --stat -- t/golden

DESTDIR ?=
UNIT_DIR ?= $(PREFIX)/lib/systemd/system
install: $(BUILD)/radishchute
	install -D -m 755 $< $(DESTDIR)$(PREFIX)/bin/radishchute
	install -D -m 644 radishchute.1 \
	  $(DESTDIR)$(PREFIX)/share/man/man1/radishchute.1
	install -d $(DESTDIR)$(UNIT_DIR)
	sed 's|/usr/local/bin|$(PREFIX)/bin|' contrib/radishchute.service \
	  >$(DESTDIR)$(UNIT_DIR)/radishchute.service

SANITIZE_FLAGS = -fsanitize=address,undefined -fno-omit-frame-pointer \
  -fno-sanitize-recover=undefined
sanitize:
	$(MAKE) BUILD=build-sanitize OPTIMIZE=-O1 SANITIZE="$(SANITIZE_FLAGS)" check

format:
	clang-format -i $(HAND_SRCS) $(HAND_HDRS)

format-check:
	clang-format --dry-run --Werror $(HAND_SRCS) $(HAND_HDRS)

LINT_STAMPS := $(HAND_SRCS:%.c=$(BUILD)/lint/%.ok)
lint: layers-check $(LINT_STAMPS)

$(BUILD)/lint/%.ok: %.c .clang-tidy $(HAND_HDRS)
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=gnu11 -I. $(PKG_CFLAGS) 2>$@.log \
	  || { cat $@.log; exit 1; }
	@touch $@

layers-check:
	t/check-layers

clean:
	rm -rf build build-sanitize build-fuzz

.PHONY: all install golden-update demo bench fuzz bench-config bench-share \
  bench-decisions bench-membership bench-restart generate check soak sanitize \
  format format-check lint layers-check clean
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
