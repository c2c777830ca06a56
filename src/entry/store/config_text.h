/*
 * config_text.h - the text of the configuration object that is in force, and
 * the difference to the one before, by which a reader of the platform's lists
 * sends a change of a large configuration to the instances of its data centre.
 *
 * Instances that have the same version of the object have the same text, as
 * the platform has sent it.
 */
#ifndef ALMONDTHREAD_ENTRY_CONFIG_TEXT_H
#define ALMONDTHREAD_ENTRY_CONFIG_TEXT_H

#include <stddef.h>

#include "report.pb-c.h"

typedef struct at_config_text at_config_text_t;

/* at_config_text_new() returns NULL if out of memory. */
at_config_text_t *at_config_text_new(void);
void at_config_text_delete(at_config_text_t *config);

/*
 * at_config_text_set() takes a newer version of the object. Returns 0, or -1 if
 * out of memory; there is no text then.
 */
int at_config_text_set(
    at_config_text_t *config, uint64_t version, const char *text, size_t len);

/*
 * at_config_text_fill() sets the difference between the last two versions in
 * message, whose other fields are set. Returns its size in bytes, or 0 if there
 * is no earlier version. The message borrows from config until the next call.
 */
size_t at_config_text_fill(at_config_text_t *config, ReportServer *message);

/* at_config_text_version() returns that of the text in force; 0: none. */
uint64_t at_config_text_version(const at_config_text_t *config);
/*
 * at_config_text_fill_since() sets what leads from the version have to the one
 * in force: the difference if there is one, else the whole text. The name of
 * message is set. Returns 0, or -1 if there is no text, or none newer. The
 * message borrows from config until the next call.
 */
int at_config_text_fill_since(
    at_config_text_t *config, uint64_t have, ReportServer *message);

/*
 * at_config_text_apply() returns the text that a message states, which the
 * caller frees, or NULL if it is for another version than the present one, if
 * it is not valid, or if out of memory.
 */
char *at_config_text_apply(
    const at_config_text_t *config, const ReportServer *message);

#endif
