/*
 * The log of a process that ends by a signal of its own.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "almondthread/log.h"

static const struct {
	const char *name;
	int number;
	int is_stdout;   /* the lines are buffered */
	int has_handler; /* another one, which stays */
	unsigned lines_per_s;
} cases[] = {
    {"SIGSEGV", SIGSEGV, 1, 0, 100},
    {"SIGBUS", SIGBUS, 1, 0, 100},
    {"SIGILL", SIGILL, 1, 0, 100},
    {"SIGFPE", SIGFPE, 1, 0, 100},
    {"SIGABRT", SIGABRT, 1, 0, 100},
    {"SIGSEGV", SIGSEGV, 0, 0, 100},
    {"SIGSEGV", SIGSEGV, 1, 0, 1}, /* the last line is suppressed */
    {"SIGSEGV", SIGSEGV, 1, 1, 100},
};

static void
on_signal(int number)
{
	(void)number;
	_exit(3);
}

static void
run_child(size_t i, int fd)
{
	(void)dup2(fd, STDOUT_FILENO);
	(void)dup2(fd, STDERR_FILENO);
	(void)signal(
	    cases[i].number, cases[i].has_handler ? on_signal : SIG_DFL);
	if (cases[i].is_stdout)
		at_log_to_stdout(cases[i].lines_per_s);
	at_log_set_fatal_signals();
	at_log(AT_LOG_INFO, "call", "r1", "an earlier decision");
	at_log(AT_LOG_INFO, "call", "r2", "the last decision");
	(void)raise(cases[i].number);
	_exit(4);
}

static void
run_case(size_t i)
{
	char text[4096] = "";
	char expected[64];
	size_t len = 0;
	ssize_t got;
	int fds[2];
	int status;
	pid_t pid;

	cr_assert_eq(pipe(fds), 0);
	pid = fork();
	if (pid == 0)
		run_child(i, fds[1]);
	(void)close(fds[1]);
	while ((got = read(fds[0], text + len, sizeof(text) - 1 - len)) > 0)
		len += (size_t)got;
	(void)close(fds[0]);
	cr_assert_eq(waitpid(pid, &status, 0), pid);
	(void)snprintf(expected, sizeof(expected),
	    "error process: ended by signal=%s last=\"", cases[i].name);
	if (cases[i].has_handler) {
		cr_expect(WIFEXITED(status) && WEXITSTATUS(status) == 3);
		return;
	}
	cr_expect(WIFSIGNALED(status) && WTERMSIG(status) == cases[i].number,
	    "case %zu: status %d", i, status);
	cr_expect(strstr(text, expected) != NULL, "case %zu: %s", i, text);
	cr_expect(strstr(text, "req=r2 the last decision\"\n") != NULL,
	    "case %zu: %s", i, text);
	cr_expect(strstr(text, "req=r1 an earlier decision\n") != NULL,
	    "case %zu: %s", i, text);
}

/* Processes that ended by SIGSEGV lost their last lines, and said nothing. */
Test(log, states_the_signal_that_ends_the_process)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(i);
}
