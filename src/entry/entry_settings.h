/*
 * entry_settings.h - the settings of almond-entry.
 */
#ifndef ALMONDTHREAD_ENTRY_ENTRY_SETTINGS_H
#define ALMONDTHREAD_ENTRY_ENTRY_SETTINGS_H

#include "entry/entry.h"
#include "io/settings.h"

/*
 * at_entry_settings_read() reads flags, environment variables and the settings
 * file at path. Numbers may have any decimal form. A fraction of a unit is
 * rounded down, and up for the term of the lease, so that neither a limit is
 * exceeded nor a lease taken over early. Returns 0; 1 if --help was printed; or
 * -1 with an error in status. The texts of the settings point into *file, which
 * the caller deletes.
 */
int at_entry_settings_read(at_entry_settings_t *settings, int argc, char **argv,
    const char *path, at_settings_file_t **file, at_status_t *status);

/*
 * at_entry_settings_backlog() returns how many new connections may wait: those
 * that the processor can read before their callers give up. Of more, each would
 * be read too late.
 */
int at_entry_settings_backlog(const at_entry_settings_t *settings);

#endif
