/*
 * settings.h - reads settings from flags, environment variables and a settings
 * file, as described by one table, which also gives the text of --help. A flag
 * overrides its variable, a variable the file, and the file the default.
 */
#ifndef ALMONDTHREAD_IO_SETTINGS_H
#define ALMONDTHREAD_IO_SETTINGS_H

#include "almondthread/status.h"

#include <stddef.h>
#include <stdint.h>

#define AT_EXIT_USAGE 2 /* exit code for a setting that is not valid */

typedef enum at_setting_type {
	AT_SETTING_TEXT,      /* const char ** */
	AT_SETTING_NUMBER,    /* uint32_t *; a fraction is rounded down */
	AT_SETTING_NUMBER_UP, /* uint32_t *; a fraction is rounded up */
	AT_SETTING_ADDRESS,   /* const char **, "ip:port" */
	AT_SETTING_FLAG,      /* uint32_t *, 0 or 1 */
	AT_SETTING_DECIMAL    /* double *, at least 0 */
} at_setting_type_t;

/* One setting. With a fallback of NULL it must be given. */
typedef struct at_setting {
	const char *flag;     /* "listen" for --listen */
	const char *variable; /* environment variable, or NULL */
	at_setting_type_t type;
	void *value; /* by type; texts point into argv, environ or the file */
	const char *fallback; /* default as text; may be "" */
	uint32_t low;         /* smallest number */
	uint32_t high;        /* largest number */
	const char *help;
} at_setting_t;

/*
 * at_settings_read() sets the values of settings[0..count-1]. Returns 0; 1
 * if --help was printed; or -1 with an error in status that names the setting.
 */
int at_settings_read(const at_setting_t *settings, size_t count, int argc,
    char **argv, at_status_t *status);

/* A settings file, read into memory. */
typedef struct at_settings_file at_settings_file_t;

/*
 * at_settings_file_read() reads lines of "flag=value". Empty lines and lines
 * that begin with '#' are skipped. Returns NULL on error, with the line in
 * status. Texts of settings point into the file, which must outlive them.
 */
at_settings_file_t *at_settings_file_read(const char *path,
    const at_setting_t *settings, size_t count, at_status_t *status);
void at_settings_file_delete(at_settings_file_t *file);

/* at_settings_read_with() is at_settings_read() with a file; NULL for none. */
int at_settings_read_with(const at_setting_t *settings, size_t count, int argc,
    char **argv, const at_settings_file_t *file, at_status_t *status);

/* at_settings_help() prints the text of --help to standard output. */
void at_settings_help(
    const char *program, const at_setting_t *settings, size_t count);

#endif
