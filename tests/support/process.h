/*
 * process.h - programs of the system as processes of their own, and what they
 * hold. Functions that cannot do their work fail the test.
 */
#ifndef ALMONDTHREAD_TESTS_PROCESS_H
#define ALMONDTHREAD_TESTS_PROCESS_H

#include <stddef.h>
#include <sys/types.h>

#define PROCESS_PATH_SIZE 512u

typedef struct process_spec {
	const char *program;          /* its name; it is beside the test */
	const char *const *variables; /* "NAME=value", NULL at the end */
	const char *log;              /* file that its output is added to */
	/* Limits that the kernel enforces; 0: as they are here. */
	size_t descriptors;
	size_t data_kb;
} process_spec_t;

/*
 * process_start() starts a process. At most one runs at a time; at the end of a
 * test that failed, process_end() ends it.
 */
pid_t process_start(const process_spec_t *spec);
void process_end(void);
/*
 * process_is_alive() returns non-zero unless the process has ended; *status is
 * then that of waitpid(). status may be NULL.
 */
int process_is_alive(pid_t pid, int *status);
/* process_status_kb() returns an entry of /proc/PID/status, "VmRSS:". */
size_t process_status_kb(pid_t pid, const char *name);
size_t process_descriptors(pid_t pid);
/*
 * process_has_plain_memory() returns 0 under a sanitizer, whose memory is not
 * the program's.
 */
int process_has_plain_memory(void);
/* process_wait_for_turn() waits until no test of this program is running. */
void process_wait_for_turn(void);

#endif
