/*
 * log.h - short sentences to standard error, one line each, with a fixed
 * prefix for each part: "2026-01-02T03:04:05.678Z info  http-in: ...".
 *
 * Keys, secrets and bodies are never passed to these functions.
 */
#ifndef ALMONDTHREAD_LOG_H
#define ALMONDTHREAD_LOG_H

typedef enum at_log_level {
	AT_LOG_ERROR,
	AT_LOG_WARN,
	AT_LOG_INFO,
	AT_LOG_DEBUG,
	AT_LOG_LEVEL_COUNT
} at_log_level_t;

extern const char *const at_log_level_names[];

/* at_log_set_level() drops what is less important than level. */
void at_log_set_level(at_log_level_t level);

/*
 * at_log() writes one line. part is the fixed prefix. request_id may be
 * NULL; otherwise it is printed as "req=ID" before the sentence.
 */
void at_log(at_log_level_t level, const char *part, const char *request_id,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#endif
