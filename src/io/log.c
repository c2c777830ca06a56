#include "almondthread/log.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024 /* longer lines are truncated */
/* Lines for a slow reader; further lines are suppressed and counted. */
#define BUFFER_BYTES (64u << 10)
#define FLUSH_THRESHOLD_BYTES (8u << 10) /* written from this size on */

const char *const at_log_level_names[] = {"error", "warn", "info", "debug"};

static at_log_level_t log_level = AT_LOG_INFO;

/* Output to standard output; is_enabled after at_log_to_stdout(). */
static struct {
	int is_enabled;
	unsigned lines_per_s;
	time_t second; /* counted by lines_this_second */
	unsigned lines_this_second;
	unsigned long suppressed;
	unsigned long suppressed_reported; /* already stated in the log */
	char buffer[BUFFER_BYTES];
	size_t len;
} out;

/* The last line that was logged, also if it was suppressed. */
static char last_line[LINE_MAX_BYTES];
static size_t last_len;

static const struct {
	int number;
	const char *name;
} fatal_signals[] = {{SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"},
    {SIGILL, "SIGILL"}, {SIGFPE, "SIGFPE"}, {SIGABRT, "SIGABRT"}};

#define FATAL_SIGNALS (sizeof(fatal_signals) / sizeof(fatal_signals[0]))
#define STAMP_LEN 24u /* "2026-01-02T03:04:05.678Z" */

/* Writes all of a text; only what is safe in a signal handler is called. */
static void
write_text(int fd, const char *text, size_t len)
{
	ssize_t written;

	while (len > 0 && (written = write(fd, text, len)) > 0) {
		text += written;
		len -= (size_t)written;
	}
}

static void
on_fatal_signal(int number)
{
	static const char before[] = " error process: ended by signal=";
	static const char between[] = " last=\"";
	static const char after[] = "\"\n";
	int fd = out.is_enabled ? STDOUT_FILENO : STDERR_FILENO;
	const char *name = "-";
	size_t i;

	for (i = 0; i < FATAL_SIGNALS; i++) {
		if (fatal_signals[i].number == number)
			name = fatal_signals[i].name;
	}
	write_text(fd, out.buffer, out.len);
	out.len = 0;
	if (last_len > STAMP_LEN)
		write_text(fd, last_line, STAMP_LEN);
	write_text(fd, before, sizeof(before) - 1u);
	write_text(fd, name, strlen(name));
	write_text(fd, between, sizeof(between) - 1u);
	write_text(fd, last_line, last_len);
	write_text(fd, after, sizeof(after) - 1u);
	/* The default action, which ends the process, is in force again. */
	(void)raise(number);
}

void
at_log_set_fatal_signals(void)
{
	struct sigaction action = {.sa_handler = on_fatal_signal,
	    .sa_flags = SA_RESETHAND | SA_NODEFER};
	struct sigaction present;
	size_t i;

	(void)sigemptyset(&action.sa_mask);
	for (i = 0; i < FATAL_SIGNALS; i++) {
		/* A sanitizer says more about it. */
		if (sigaction(fatal_signals[i].number, NULL, &present) == 0 &&
		    present.sa_handler == SIG_DFL)
			(void)sigaction(fatal_signals[i].number, &action, NULL);
	}
}

void
at_log_to_stdout(unsigned lines_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	out.is_enabled = 1;
	out.lines_per_s = lines_per_s;
}

void
at_log_flush(void)
{
	ssize_t written;

	if (out.len == 0)
		return;
	written = write(STDOUT_FILENO, out.buffer, out.len);
	if (written <= 0)
		return;
	out.len -= (size_t)written;
	memmove(out.buffer, out.buffer + written, out.len);
}

unsigned long
at_log_suppressed_count(void)
{
	return out.suppressed;
}

static int
append_line(const char *line, size_t len)
{
	if (out.len + len + 1 > BUFFER_BYTES)
		at_log_flush();
	if (out.len + len + 1 > BUFFER_BYTES)
		return -1;
	memcpy(out.buffer + out.len, line, len);
	out.len += len;
	out.buffer[out.len++] = '\n';
	if (out.len >= FLUSH_THRESHOLD_BYTES)
		at_log_flush();
	return 0;
}

static void
append_suppressed_line(void)
{
	char line[64];
	int len = snprintf(line, sizeof(line), "log: suppressed lines=%lu",
	    out.suppressed - out.suppressed_reported);

	if (append_line(line, (size_t)len) == 0)
		out.suppressed_reported = out.suppressed;
}

static void
append_limited(const char *line, size_t len)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	if (now.tv_sec != out.second) {
		out.second = now.tv_sec;
		out.lines_this_second = 0;
		if (out.suppressed > out.suppressed_reported)
			append_suppressed_line();
	}
	if (++out.lines_this_second > out.lines_per_s ||
	    append_line(line, len) != 0)
		out.suppressed++;
}

void
at_log_set_level(at_log_level_t level)
{
	log_level = level;
}

static int
format_prefix(
    char *line, size_t size, at_log_level_t level, const char *component)
{
	struct timespec now;
	struct tm utc;
	char stamp[32];

	(void)clock_gettime(CLOCK_REALTIME, &now);
	(void)gmtime_r(&now.tv_sec, &utc);
	(void)strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	return snprintf(line, size, "%s.%03ldZ %-5s %s: ", stamp,
	    now.tv_nsec / 1000000, at_log_level_names[level], component);
}

void
at_log(at_log_level_t level, const char *component, const char *request_id,
    const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	size_t len;
	va_list ap;

	if (level > log_level)
		return;
	len = (size_t)format_prefix(line, sizeof(line), level, component);
	if (request_id != NULL && len < sizeof(line))
		len += (size_t)snprintf(
		    line + len, sizeof(line) - len, "req=%s ", request_id);
	if (len < sizeof(line)) {
		va_start(ap, fmt);
		(void)vsnprintf(line + len, sizeof(line) - len, fmt, ap);
		va_end(ap);
	}
	last_len = strlen(line);
	memcpy(last_line, line, last_len);
	if (out.is_enabled)
		append_limited(line, last_len);
	else
		(void)fprintf(stderr, "%s\n", line);
}
