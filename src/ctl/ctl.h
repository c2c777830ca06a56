/*
 * ctl.h - the operators' program: what its commands share.
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
	const char *platform; /* "ip:port" */
	const char *daemon;   /* an instance's address for operators */
	const char *secret;   /* the fleet's, hexadecimal; may be empty */
	const char *reason;   /* of an exception; may be empty */
	uint32_t json;        /* print JSON instead of a table */
	uint32_t replace;     /* apply over any generation */
} ctl_options_t;

/*
 * A command gets its words, argv[0] being its own last word. Returns a code;
 * the message is printed by the caller. AT_INVALID with a message that
 * begins with "usage" stands for a wrong call.
 */
typedef at_code_t (*ctl_run_t)(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status);

at_code_t ctl_validate(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status);
at_code_t ctl_apply(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status);
at_code_t ctl_diff(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status);
at_code_t ctl_get(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status);
at_code_t ctl_status(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status);
at_code_t ctl_explain(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status);
at_code_t ctl_key(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status);
/* workspace, model, adapter, engine, service, route: set, delete, list. */
at_code_t ctl_entry(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status);
at_code_t ctl_exception(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status);

#endif
