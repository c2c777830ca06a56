/*
 * log.h - one line for each event, with a fixed prefix for each module:
 * "2026-01-02T03:04:05.678Z info  http-in: ...". Lines of almondthreadd are
 * short sentences; lines that explain a decision are an event's name and
 * fields, "refused reason=overload wait_ms=820".
 *
 * Lines are written to standard error at once. After at_log_to_stdout() they
 * are written to standard output, at most a given number a second, through a
 * buffer that never blocks on its reader. Suppressed lines are counted, and a
 * line states their number.
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

/*
 * at_log_to_stdout() limits the lines per second. The caller must then call
 * at_log_flush() regularly.
 */
void at_log_to_stdout(unsigned lines_per_s);
/* at_log_flush() writes the buffered lines that the reader can accept. */
void at_log_flush(void);
/* at_log_suppressed_count() returns the lines suppressed since the start. */
unsigned long at_log_suppressed_count(void);

/*
 * at_log_set_fatal_signals() has a process that ends by SIGSEGV, SIGBUS,
 * SIGILL, SIGFPE or SIGABRT write the buffered lines, and one with the signal
 * and the last line that was logged, suppressed or not. Signals that have a
 * handler keep it.
 */
void at_log_set_fatal_signals(void);

/* at_log_set_level() drops lines that are less severe than level. */
void at_log_set_level(at_log_level_t level);

/*
 * at_log() writes one line. component is the module's prefix. request_id may be
 * NULL; otherwise it is printed as "req=ID" before the sentence.
 */
void at_log(at_log_level_t level, const char *component, const char *request_id,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

#endif
