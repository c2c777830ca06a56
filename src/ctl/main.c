/*
 * almondctl: command-line program for operators. Edits the configuration on
 * the platform and shows the state of an instance.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>

#include "ctl/ctl.h"

#define ARGUMENTS_MAX 64 /* the command and its arguments */

typedef struct command {
	const char *name;
	ctl_run_t run;
	const char *help;
} command_t;

static const command_t commands[] = {
    {"validate", ctl_validate, "FILE: check a configuration"},
    {"apply", ctl_apply, "FILE: put a configuration in force"},
    {"diff", ctl_diff, "FILE: what apply would change"},
    {"get", ctl_get, "print the configuration in force"},
    {"workspace", ctl_entry, "list | set ID FIELD=VALUE... | delete ID"},
    {"key", ctl_key, "give|withdraw WORKSPACE ID"},
    {"model", ctl_entry, "list | set ID FIELD=VALUE... | delete ID"},
    {"adapter", ctl_entry, "list | set ID FIELD=VALUE... | delete ID"},
    {"engine", ctl_entry, "list | set ID FIELD=VALUE... | delete ID"},
    {"service", ctl_entry, "list | set ID FIELD=VALUE... | delete ID"},
    {"route", ctl_entry, "list | set PATH FIELD=VALUE... | delete PATH"},
    {"exception", ctl_exception,
	"list | set KIND SUBJECT [FIELD=VALUE...] | delete KIND SUBJECT"},
    {"status", ctl_status, "print an instance's state"},
    {"explain", ctl_explain,
	"request ID: why it was refused; model NAME: why it is resident"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static int
exit_code(const at_status_t *status, at_code_t code)
{
	switch (code) {
	case AT_OK:
		return CTL_EXIT_OK;
	case AT_INVALID:
		return strncmp(status->message, "usage", 5) == 0
			   ? CTL_EXIT_USAGE
			   : CTL_EXIT_INVALID;
	case AT_CONFLICT:
		return CTL_EXIT_CONFLICT;
	case AT_UNAVAILABLE:
		return CTL_EXIT_UNAVAILABLE;
	case AT_NOT_FOUND:
		return CTL_EXIT_NOT_FOUND;
	default:
		return CTL_EXIT_FAILED;
	}
}

static void
print_help(void **arg_table)
{
	size_t i;

	(void)printf("usage: almondctl [options] COMMAND [arguments]\n\n");
	for (i = 0; i < COMMAND_COUNT; i++)
		(void)printf(
		    "  %-10s %s\n", commands[i].name, commands[i].help);
	(void)printf("\n");
	arg_print_glossary(stdout, arg_table, "  %-24s %s\n");
	(void)printf("\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid "
		     "configuration,\n4 conflict, 5 unavailable, 6 not "
		     "found.\n");
}

/*
 * Returns the option's value, else the environment variable's, else fallback.
 */
static const char *
option_or_variable(
    const struct arg_str *arg, const char *variable, const char *fallback)
{
	const char *text = getenv(variable);

	if (arg->count > 0)
		return arg->sval[0];
	return text != NULL ? text : fallback;
}

static int
run_command(const ctl_options_t *options, int argc, char **argv)
{
	at_status_t status;
	at_code_t code;
	size_t i;

	at_status_clear(&status);
	for (i = 0; i < COMMAND_COUNT; i++) {
		if (strcmp(commands[i].name, argv[0]) != 0)
			continue;
		code = commands[i].run(options, argc, argv, &status);
		if (code != AT_OK)
			(void)fprintf(
			    stderr, "almondctl: %s\n", status.message);
		return exit_code(&status, code);
	}
	(void)fprintf(
	    stderr, "almondctl: no command '%s'; see --help\n", argv[0]);
	return CTL_EXIT_USAGE;
}

int
main(int argc, char **argv)
{
	struct arg_str *platform = arg_str0(NULL, "platform", "IP:PORT",
	    "address of the platform [ALMONDTHREAD_PLATFORM]");
	struct arg_str *instance = arg_str0(NULL, "daemon", "IP:PORT",
	    "operators' address of an instance [ALMONDTHREAD_OPERATORS]");
	struct arg_str *secret = arg_str0(
	    NULL, "secret", "HEX", "fleet secret [ALMONDTHREAD_SECRET]");
	struct arg_str *reason =
	    arg_str0(NULL, "reason", "TEXT", "reason of an exception");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *replace = arg_lit0(
	    NULL, "replace", "apply: replace the generation that is in force");
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_str *arguments = arg_strn(
	    NULL, NULL, "COMMAND", 0, ARGUMENTS_MAX, "command and arguments");
	struct arg_end *end = arg_end(4);
	void *arg_table[] = {platform, instance, secret, reason, json, replace,
	    help, arguments, end};
	char *command_argv[ARGUMENTS_MAX] = {NULL};
	ctl_options_t options;
	int errors;
	int exit_status = CTL_EXIT_USAGE;
	int i;

	errors = arg_parse(argc, argv, arg_table);
	options.platform = option_or_variable(
	    platform, "ALMONDTHREAD_PLATFORM", "127.0.0.1:7000");
	options.daemon = option_or_variable(
	    instance, "ALMONDTHREAD_OPERATORS", "127.0.0.1:8081");
	options.secret = option_or_variable(secret, "ALMONDTHREAD_SECRET", "");
	options.reason = option_or_variable(reason, "ALMONDTHREAD_REASON", "");
	options.json = json->count > 0;
	options.replace = replace->count > 0;
	for (i = 0; i < arguments->count; i++)
		command_argv[i] = (char *)(uintptr_t)arguments->sval[i];
	if (help->count > 0) {
		print_help(arg_table);
		exit_status = CTL_EXIT_OK;
	} else if (errors > 0 || arguments->count <= 0) {
		arg_print_errors(stderr, end, "almondctl");
		(void)fprintf(stderr, "almondctl: see --help\n");
	} else if (sodium_init() < 0 ||
		   curl_global_init(CURL_GLOBAL_ALL) != 0) {
		exit_status = CTL_EXIT_FAILED;
	} else {
		exit_status =
		    run_command(&options, arguments->count, command_argv);
		curl_global_cleanup();
	}
	arg_freetable(arg_table, sizeof(arg_table) / sizeof(arg_table[0]));
	return exit_status;
}
