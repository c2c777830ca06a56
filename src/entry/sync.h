/*
 * sync.h - copies of the platform's configuration and of its list of backend
 * servers, kept by list and watch.
 */
#ifndef ALMONDTHREAD_ENTRY_SYNC_H
#define ALMONDTHREAD_ENTRY_SYNC_H

#include "entry/entry.h"

at_sync_t *at_sync_new(at_entry_t *entry);
/* at_sync_start() makes the first calls. */
void at_sync_start(at_sync_t *sync);
void at_sync_delete(at_sync_t *sync);
/*
 * at_sync_look() reads the configuration besides its watch, which may have
 * become silent; a call that is open already is enough.
 */
void at_sync_check_config(at_sync_t *sync);
/*
 * at_sync_set_reader() says whether this instance reads for its data centre;
 * else it follows what the reader tells.
 */
void at_sync_set_reader(at_sync_t *sync, int is_reader);
int at_sync_is_reader(const at_sync_t *sync);
/* What the reader tells of one backend server; spec is NULL when it is gone. */
void at_sync_feed_server(
    at_sync_t *sync, const char *name, uint64_t version, const char *spec);
/* The same of the configuration. */
void at_sync_feed_config(
    at_sync_t *sync, const char *name, uint64_t version, const char *spec);
/*
 * at_sync_hear_newer() says that another instance has a newer configuration;
 * it is read unless the reader tells it soon.
 */
void at_sync_note_newer_config(at_sync_t *sync);
/* at_sync_compare() lists anew when the reader's list stays another one. */
void at_sync_compare_digest(at_sync_t *sync, uint64_t reader_digest);
uint64_t at_sync_digest(const at_sync_t *sync);
/* at_sync_complete() tells whether both were ever read whole. */
int at_sync_is_complete(const at_sync_t *sync);
/* at_sync_is_platform_away() tells whether the last call of either failed. */
int at_sync_is_platform_away(const at_sync_t *sync);

#endif
