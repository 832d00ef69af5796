# savorypier: GNU make. One flat directory of sources; a file's family prefix
# says what it belongs to:
#   savorypierd.c daemon-*.c   the daemon        (not in the library)
#   savorypierd-entry.c        the same for a platform alone, small
#   entry*.c platform/*.c      the daemon on a platform with a store
#   savorypier.c  cmd-*.c      the tool          (not in the library)
#   anything else              libsavorypier
#   standins/NAME.c            one stand-in each; standins/common-*.c shared
#   tests/test-*.c             core tests; tests/proc-*.c process tests;
#                              tests/bench-*.c measurements;
#                              tests/util-*.c shared by them
#   platform/soak-*.c          the fault soak of the daemon on a platform
#   platform/common-*.c        parts of platform/standin-platform.c
#   tests/fuzz-main.c          one fuzzer for each folder of tests/corpus/
# SAN=address or SAN=thread builds an instrumented tree beside the plain one.

CC	= gcc
SAN	=
B	= build$(if $(SAN),-$(SAN))
PKGS	= glib-2.0 libmicrohttpd libcurl libtirpc jansson libxxhash gnutls yaml-0.1 libbsd ck
DEFS	= -D_GNU_SOURCE
PKGCFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
# http-parser has no pkg-config file.
PKGLIBS	:= $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser
WARN	= -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	  -Wmissing-prototypes -Wpointer-arith -Wno-unused-parameter \
	  -Wno-missing-field-initializers -Wformat=2
SANFLAGS_address = -fsanitize=address,undefined -fno-sanitize-recover=all
SANFLAGS_thread	= -fsanitize=thread
SANFLAGS_fuzzer	= -fsanitize=fuzzer-no-link,address,undefined \
		  -fno-sanitize-recover=all
OPT	= -O2 -g
CFLAGS	= -std=gnu11 $(OPT) -fno-omit-frame-pointer $(WARN) $(SANFLAGS_$(SAN))
ALLCFLAGS = $(CFLAGS) $(DEFS) -I. -pthread $(PKGCFLAGS)
LDFLAGS	=
LDLIBS	= $(SANFLAGS_$(SAN)) $(LDFLAGS) $(PKGLIBS) -lm -pthread
# Few libraries to load: those that are small are linked in, but for sanitizers,
# whose own functions of these names call those of a shared library.
ENTRY_LIBS = glib-2.0 pcre2-8 tirpc jansson xxhash yaml http_parser
ENTRY_LDLIBS = $(SANFLAGS_$(SAN)) $(LDFLAGS) $(if $(SAN),,-Wl,-Bstatic) \
	  $(ENTRY_LIBS:%=-l%) -Wl,-Bdynamic -lm -pthread

GEN_SRCS := proto_xdr.c
# platform/test-*.c, standin-*.c and common-*.c speak the platform's names too.
ADAPTER_SRCS := $(filter-out platform/test-%.c platform/standin-%.c platform/proc-%.c platform/util-%.c platform/soak-%.c platform/common-%.c,$(wildcard platform/*.c))
ENTRY_SRCS := $(wildcard entry*.c) $(ADAPTER_SRCS)
DAEMON_SRCS := savorypierd.c $(wildcard daemon-*.c) $(ENTRY_SRCS)
# The daemon on a platform only.
ENTRY_MAIN_SRCS := savorypierd-entry.c daemon-main.c $(ENTRY_SRCS)
TOOL_SRCS := savorypier.c $(wildcard cmd-*.c)
LIB_SRCS := $(filter-out $(DAEMON_SRCS) $(ENTRY_MAIN_SRCS) $(TOOL_SRCS),$(wildcard *.c))
STANDIN_COMMON := $(wildcard standins/common-*.c)
STANDIN_MAINS := $(filter-out $(STANDIN_COMMON),$(wildcard standins/*.c)) $(wildcard platform/standin-*.c)
TEST_COMMON := $(wildcard tests/util-*.c)
TEST_MAINS := $(wildcard tests/test-*.c) $(wildcard platform/test-*.c)
PROC_MAINS := $(wildcard tests/proc-*.c) $(wildcard platform/proc-*.c)
BENCH_MAINS := $(wildcard tests/bench-*.c)
FUZZ_TARGETS := $(notdir $(wildcard tests/corpus/*))
FUZZ_SECONDS = 60

obj = $(patsubst %.c,$(B)/obj/%.o,$(1))
prog = $(patsubst %.c,$(B)/%,$(notdir $(1)))

LIB	= $(B)/libsavorypier.a
# The shared library exports what the public headers declare; see
# libsavorypier.map and scripts/public-symbols. lease.h joins with lease.c.
VERSION	:= $(shell sed -n 's/.*SAVORY_VERSION "\(.*\)"/\1/p' savory.h)
SONAME	= libsavorypier.so.0
SHLIB	= $(B)/libsavorypier.so.$(VERSION)
PUBLIC_HDRS = savory.h document.h doc-fold.h log-record.h log-client.h \
	      ledger.h $(if $(wildcard lease.c),lease.h) member.h net.h \
	      proto.h directory.h dispatch.h ticket.h share.h request.h sse.h event-stream.h \
	      ring.h buffer.h http-message.h fresh.h retry-budget.h route.h \
	      server.h fair-share.h prompt-fetch.h returns.h server-speed.h server-limit.h server-memory.h server-mix.h server-pace.h server-rate.h server-room.h server-sign.h server-version.h place.h relay.h \
	      duty.h usage.h capacity.h era.h poison.h reach.h handoff.h stream-version.h version-set.h stream-log.h \
	      run-move.h run-pace.h
MAINS	= $(if $(wildcard savorypierd.c),$(B)/savorypierd $(B)/savorypierd-entry) \
	  $(if $(wildcard savorypier.c),$(B)/savorypier)
STANDINS = $(call prog,$(STANDIN_MAINS))
TESTS	= $(call prog,$(TEST_MAINS))
PROCS	= $(call prog,$(PROC_MAINS))
BENCHES	= $(call prog,$(BENCH_MAINS))
SOAK	= $(B)/soak

all: $(LIB) $(SHLIB) $(MAINS) $(STANDINS) $(TESTS) $(PROCS) $(BENCHES) $(SOAK)

# What an installation has.
programs: $(LIB) $(SHLIB) $(MAINS)

$(LIB): $(call obj,$(LIB_SRCS))
	@rm -f $@
	@ar rcs $@ $^

$(call obj,$(LIB_SRCS)): PIC = -fPIC -fno-semantic-interposition
$(SHLIB): $(call obj,$(LIB_SRCS)) libsavorypier.map
	@echo "ld $@"; $(CC) -shared -Wl,-soname,$(SONAME) -Wl,--as-needed \
	    -Wl,--version-script=libsavorypier.map \
	    -o $@ $(call obj,$(LIB_SRCS)) $(LDLIBS)
	@ln -sf $(@F) $(B)/$(SONAME)
	@ln -sf $(SONAME) $(B)/libsavorypier.so
# After a change of the public headers.
symbols: $(LIB)
	scripts/public-symbols $(LIB) $(PUBLIC_HDRS) >$(B)/symbols
	mv $(B)/symbols libsavorypier.map
symbols-print: $(LIB)
	@scripts/public-symbols $(LIB) $(PUBLIC_HDRS)
public-headers:
	@echo $(PUBLIC_HDRS)

$(B)/savorypierd: $(call obj,$(DAEMON_SRCS)) $(LIB)
	@echo "ld $@"; $(CC) -o $@ $^ $(LDLIBS)
$(B)/savorypierd-entry: $(call obj,$(ENTRY_MAIN_SRCS)) $(LIB)
	@echo "ld $@"; $(CC) -o $@ $^ $(ENTRY_LDLIBS)
$(B)/savorypier: $(call obj,$(TOOL_SRCS)) $(LIB)
	@echo "ld $@"; $(CC) -o $@ $^ $(LDLIBS)
PLATFORM_STANDINS = $(filter $(B)/standin-%,$(STANDINS))
PLATFORM_TESTS = $(call prog,$(wildcard platform/test-*.c platform/proc-*.c))
$(PLATFORM_STANDINS): $(B)/%: $(B)/obj/platform/%.o $(B)/obj/standins/common-cut.o $(LIB)
	@echo "ld $@"; $(CC) -o $@ $^ $(LIB) $(LDLIBS)
$(B)/standin-platform: $(call obj,$(wildcard platform/common-*.c))
$(PLATFORM_TESTS): $(B)/%: $(B)/obj/platform/%.o $(call obj,$(ENTRY_SRCS) $(TEST_COMMON) $(wildcard platform/util-*.c)) $(LIB)
	@echo "ld $@"; $(CC) -o $@ $^ $(LIB) $(LDLIBS)
$(SOAK): $(call obj,$(wildcard platform/soak-*.c) tests/util-proc.c tests/util-proxy.c) $(LIB)
	@echo "ld $@"; $(CC) -o $@ $^ $(LDLIBS)
$(filter-out $(PLATFORM_STANDINS),$(STANDINS)): $(B)/%: $(B)/obj/standins/%.o $(call obj,$(STANDIN_COMMON)) $(LIB)
	@echo "ld $@"; $(CC) -o $@ $^ $(LDLIBS)
$(filter-out $(PLATFORM_TESTS),$(TESTS) $(PROCS) $(BENCHES)): $(B)/%: $(B)/obj/tests/%.o $(call obj,$(TEST_COMMON)) $(LIB)
	@echo "ld $@"; $(CC) -o $@ $^ $(LIB) $(LDLIBS)
# The daemon's parts are no part of the library; these test them.
$(B)/test-entry-log: $(call obj,entry-log.c)
$(B)/test-answer: $(call obj,daemon-answer.c)
# The same of the tool's commands.
$(B)/test-explain: $(call obj,entry-log.c)
$(B)/test-cmd $(B)/test-explain $(B)/test-man $(B)/test-pages: $(call obj,$(filter-out savorypier.c,$(TOOL_SRCS)))

# The decoders under libFuzzer, each for FUZZ_SECONDS; new inputs stay in the
# build tree, a crash leaves its input beside them.
fuzz:
	+$(MAKE) CC=clang SAN=fuzzer fuzz-run
fuzz-run: $(FUZZ_TARGETS:%=$(B)/fuzz-%)
	for t in $(FUZZ_TARGETS); do \
		mkdir -p $(B)/corpus/$$t && $(B)/fuzz-$$t -close_fd_mask=1 \
		    -max_total_time=$(FUZZ_SECONDS) -max_len=1400 \
		    -artifact_prefix=$(B)/corpus/$$t- \
		    $(B)/corpus/$$t tests/corpus/$$t || exit 1; \
	done
$(B)/fuzz-%: tests/fuzz-main.c $(call obj,tests/util-fuzz.c) $(LIB)
	$(CC) $(ALLCFLAGS) -fsanitize=fuzzer -DFUZZ_TARGET='"$*"' -o $@ $^ $(LDLIBS)

# rpcgen's output does not meet our warnings and is not ours to mend.
$(B)/obj/proto_xdr.o: WARN = -w
# The flags stand in here, so a change of this file builds anew.
$(B)/obj/%.o: %.c Makefile
	@mkdir -p $(@D)
	@echo "cc $<"; $(CC) $(ALLCFLAGS) $(PIC) -MMD -MP -c -o $@ $<

-include $(shell find $(B)/obj -name '*.d' 2>/dev/null)

# The generated codecs are committed; this renews them after a change of proto.x.
gen:
	rm -f proto.h proto_xdr.c
	rpcgen -h -o proto.h proto.x
	rpcgen -c -o proto_xdr.c proto.x
	clang-format -i proto_xdr.c

FMT_SRCS = $(filter-out proto.h proto_xdr.c,$(wildcard *.c *.h platform/*.c platform/*.h standins/*.c standins/*.h tests/*.c tests/*.h examples/*.c))
LINT_SRCS = $(filter %.c,$(FMT_SRCS))

format:
	clang-format -i $(FMT_SRCS)
format-check:
	clang-format --dry-run -Werror $(FMT_SRCS)
TIDY = clang-tidy --quiet "$$@" -- -std=gnu11 $(DEFS) -I. -I$(B)/include $(PKGCFLAGS:-I%=-isystem%) 2>/dev/null
# examples/embed.c includes the headers as if they were installed.
lint:
	@mkdir -p $(B)/include && ln -sfn $(CURDIR) $(B)/include/savorypier
	@printf '%s\n' $(LINT_SRCS) | xargs -P 10 -n 2 sh -c '$(TIDY)' sh
	cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 -j 8 \
	    --enable=warning,portability --suppress=missingInclude \
	    --library=gtk --include=scripts/cppcheck-macros.h $(DEFS) -I. $(LINT_SRCS)

models:
	scripts/run-models
check: all
	scripts/run-tests $(B) $(TESTS) $(PROCS)
# Programs with threads, under ThreadSanitizer.
check-thread: all
	scripts/run-tests $(B) $(filter %-ring %-log-client %-net %-answers,$(TESTS)) $(PROCS)

check-core: all
	scripts/run-tests $(B) $(TESTS)
bench: all
	scripts/bench $(B)
demo: prereq
	+$(MAKE) all
	scripts/demo $(B)
demo-up: prereq
	+$(MAKE) all
	scripts/demo --up $(B)
demo-down:
	scripts/demo --down $(B)
prereq:
	scripts/packages

# Packagers set DESTDIR, PREFIX and LIBDIR; nothing is built outside $(B).
DESTDIR	=
PREFIX	= /usr/local
LIBDIR	= $(PREFIX)/lib
SHAREDIR = $(PREFIX)/share
INSTALL	= install
PC_EDIT	= s|@VERSION@|$(VERSION)|; \
	  s|@UP@|$(shell realpath -m --relative-to=$(LIBDIR)/pkgconfig $(PREFIX))|; \
	  s|@LIB@|$(shell realpath -m --relative-to=$(PREFIX) $(LIBDIR))|

install: install-bin install-lib install-man install-examples
install-bin: $(MAINS)
	$(INSTALL) -d $(DESTDIR)$(PREFIX)/sbin $(DESTDIR)$(PREFIX)/bin
	$(INSTALL) -m 755 $(B)/savorypierd $(B)/savorypierd-entry $(DESTDIR)$(PREFIX)/sbin
	$(INSTALL) -m 755 $(B)/savorypier $(DESTDIR)$(PREFIX)/bin
install-lib: $(LIB) $(SHLIB)
	$(INSTALL) -d $(DESTDIR)$(PREFIX)/include/savorypier $(DESTDIR)$(LIBDIR)/pkgconfig
	$(INSTALL) -m 644 $(PUBLIC_HDRS) $(DESTDIR)$(PREFIX)/include/savorypier
	$(INSTALL) -m 644 $(LIB) $(SHLIB) $(DESTDIR)$(LIBDIR)
	ln -sf $(notdir $(SHLIB)) $(DESTDIR)$(LIBDIR)/$(SONAME)
	ln -sf $(SONAME) $(DESTDIR)$(LIBDIR)/libsavorypier.so
	sed '$(PC_EDIT)' savorypier.pc.in >$(DESTDIR)$(LIBDIR)/pkgconfig/savorypier.pc
install-man:
	for n in 1 5 8; do \
		$(INSTALL) -d $(DESTDIR)$(SHAREDIR)/man/man$$n && \
		$(INSTALL) -m 644 man/*.$$n $(DESTDIR)$(SHAREDIR)/man/man$$n || exit 1; \
	done
	$(INSTALL) -d $(DESTDIR)$(SHAREDIR)/bash-completion/completions
	$(INSTALL) -m 644 scripts/savorypier.bash \
	    $(DESTDIR)$(SHAREDIR)/bash-completion/completions/savorypier
install-examples:
	$(INSTALL) -d $(DESTDIR)$(SHAREDIR)/savorypier/examples
	cp -R examples/. $(DESTDIR)$(SHAREDIR)/savorypier/examples

clean:
	rm -rf build build-*

.PHONY: all programs fuzz fuzz-run gen format format-check lint models check check-core check-thread bench demo demo-up demo-down prereq clean symbols symbols-print public-headers install install-bin install-lib install-man install-examples
