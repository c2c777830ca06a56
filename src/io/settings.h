/*
 * settings.h - one table of settings gives flags, environment variables,
 * lines of a settings file and the text of --help. A flag goes before its
 * variable, a variable before the file, the file before the default.
 */
#ifndef ALMONDTHREAD_IO_SETTINGS_H
#define ALMONDTHREAD_IO_SETTINGS_H

#include "almondthread/status.h"

#include <stddef.h>
#include <stdint.h>

#define AT_EXIT_USAGE 2 /* exit code of a wrong setting */

typedef enum at_setting_type {
	AT_SETTING_TEXT,    /* const char ** */
	AT_SETTING_NUMBER,  /* uint32_t * */
	AT_SETTING_ADDRESS, /* const char **, "ip:port" */
	AT_SETTING_FLAG,    /* uint32_t *, 0 or 1 */
	AT_SETTING_DECIMAL  /* double *, at least 0 */
} at_setting_type_t;

/* One row. A text with fallback NULL must be given. */
typedef struct at_setting {
	const char *flag;     /* "listen" for --listen */
	const char *variable; /* environment variable, or NULL */
	at_setting_type_t type;
	void *value;          /* by type; texts point into argv or environ */
	const char *fallback; /* default as text; "" may stay empty */
	uint32_t low;         /* bounds of a number */
	uint32_t high;
	const char *help;
} at_setting_t;

/*
 * at_settings_read() fills the values of rows[0..count-1].
 * Returns 0 to go on; 1 after --help was printed; -1 with the setting at
 * fault in status.
 */
int at_settings_read(const at_setting_t *settings, size_t count, int argc,
    char **argv, at_status_t *status);

/* A settings file, read into memory. */
typedef struct at_settings_file at_settings_file_t;

/*
 * at_settings_file_read() reads lines "flag=value"; empty lines and those
 * that begin with '#' are passed over. Returns NULL with the line at fault
 * in status. Texts of the rows point into the file, which must outlive them.
 */
at_settings_file_t *at_settings_file_read(const char *path,
    const at_setting_t *settings, size_t count, at_status_t *status);
void at_settings_file_delete(at_settings_file_t *file);

/* at_settings_read_with() is at_settings_read() with a file, or NULL. */
int at_settings_read_with(const at_setting_t *settings, size_t count, int argc,
    char **argv, const at_settings_file_t *file, at_status_t *status);

/* at_settings_help() prints the table. */
void at_settings_help(
    const char *program, const at_setting_t *settings, size_t count);

#endif
