#include "almondthread/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#define LINE_SIZE 1024 /* bytes of one line */

const char *const at_log_level_names[] = {"error", "warn", "info", "debug"};

static at_log_level_t log_level = AT_LOG_INFO;

void
at_log_set_level(at_log_level_t level)
{
	log_level = level;
}

static int
format_prefix(char *line, size_t size, at_log_level_t level, const char *part)
{
	struct timespec now;
	struct tm utc;
	char stamp[32];

	(void)clock_gettime(CLOCK_REALTIME, &now);
	(void)gmtime_r(&now.tv_sec, &utc);
	(void)strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &utc);
	return snprintf(line, size, "%s.%03ldZ %-5s %s: ", stamp,
	    now.tv_nsec / 1000000, at_log_level_names[level], part);
}

void
at_log(at_log_level_t level, const char *part, const char *request_id,
    const char *fmt, ...)
{
	char line[LINE_SIZE];
	size_t len;
	va_list ap;

	if (level > log_level)
		return;
	len = (size_t)format_prefix(line, sizeof(line), level, part);
	if (request_id != NULL && len < sizeof(line))
		len += (size_t)snprintf(
		    line + len, sizeof(line) - len, "req=%s ", request_id);
	if (len < sizeof(line)) {
		va_start(ap, fmt);
		(void)vsnprintf(line + len, sizeof(line) - len, fmt, ap);
		va_end(ap);
	}
	(void)fprintf(stderr, "%s\n", line);
}
