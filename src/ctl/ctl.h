/*
 * ctl.h - almondctl, the operators' command-line program: options, exit codes
 * and commands.
 */
#ifndef ALMONDTHREAD_CTL_CTL_H
#define ALMONDTHREAD_CTL_CTL_H

#include "almondthread/status.h"
#include "almondthread/units.h"

/* Exit codes, as documented in almondctl(1). */
#define CTL_EXIT_OK 0
#define CTL_EXIT_FAILED 1
#define CTL_EXIT_USAGE 2
#define CTL_EXIT_INVALID 3
#define CTL_EXIT_CONFLICT 4
#define CTL_EXIT_UNAVAILABLE 5
#define CTL_EXIT_NOT_FOUND 6

typedef struct ctl_options {
	const char *platform; /* address of the platform, "IP:PORT" */
	const char *daemon;   /* operators' address of an instance */
	const char *secret;   /* fleet secret in hexadecimal; may be empty */
	const char *reason;   /* reason of an exception; may be empty */
	uint32_t json;        /* print JSON instead of a table */
	uint32_t replace;     /* apply a file of any generation */
} ctl_options_t;

/*
 * A command. argv[0] is the name of the command and the rest are its
 * arguments. Returns AT_OK, or an error whose message the caller prints.
 * AT_INVALID with a message that begins with "usage" means that the command
 * line was wrong; the program then ends with CTL_EXIT_USAGE.
 */
typedef at_code_t (*ctl_run_t)(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);

/* The commands; almondctl(1) describes each of them. */
at_code_t ctl_validate(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);
at_code_t ctl_apply(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);
at_code_t ctl_diff(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);
at_code_t ctl_get(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);
at_code_t ctl_status(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);
at_code_t ctl_explain(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);
at_code_t ctl_key(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);
/*
 * ctl_entry() runs the subcommands list, set and delete of the commands
 * workspace, model, adapter, engine, service and route.
 */
at_code_t ctl_entry(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);
at_code_t ctl_exception(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);

#endif
