/*
 * sync.h - copies of the platform's configuration and of its list of backend
 * servers, kept up to date by list and watch calls. One instance of each data
 * centre, the reader, makes these calls; the others follow its reports.
 */
#ifndef ALMONDTHREAD_ENTRY_SYNC_H
#define ALMONDTHREAD_ENTRY_SYNC_H

#include "entry/entry.h"

/* at_sync_new() returns NULL if out of memory. */
at_sync_t *at_sync_new(at_entry_t *entry);
/* at_sync_start() lists both kinds of objects. */
void at_sync_start(at_sync_t *sync);
void at_sync_delete(at_sync_t *sync);
/*
 * at_sync_check_config() lists the configuration in addition to its watch,
 * which may have become silent. It does nothing while an earlier list call is
 * open.
 */
void at_sync_check_config(at_sync_t *sync);
/*
 * at_sync_set_reader() sets whether this instance reads the platform's lists
 * for its data centre; else it follows the reports of the reader.
 */
void at_sync_set_reader(at_sync_t *sync, int is_reader);
int at_sync_is_reader(const at_sync_t *sync);
/*
 * at_sync_feed_server() applies the reader's report of one backend server;
 * spec is its JSON text, or NULL when it was deleted.
 */
void at_sync_feed_server(
    at_sync_t *sync, const char *name, uint64_t version, const char *spec);
/* at_sync_feed_config() applies the reader's report of the configuration. */
void at_sync_feed_config(
    at_sync_t *sync, const char *name, uint64_t version, const char *spec);
/*
 * at_sync_note_newer_config() records that another instance has a newer
 * configuration; it is listed unless the reader's report of it follows within
 * 200 ms.
 */
void at_sync_note_newer_config(at_sync_t *sync);
/*
 * at_sync_confirmation_age_ms() returns the age of the platform's last
 * confirmation: all changes that it had acknowledged before that are known
 * here. The reader sends it with its reports.
 */
uint64_t at_sync_confirmation_age_ms(const at_sync_t *sync);
/*
 * at_sync_steady_ms() returns for how long there have been such confirmations
 * without an interruption in which entries of the list could have lapsed. The
 * reader sends it, too.
 */
uint64_t at_sync_steady_ms(const at_sync_t *sync);
/*
 * at_sync_note_steady() takes that time, and the age of the last confirmation,
 * from a reader of any data centre. If they include an outage that this
 * instance has had, the platform was not down: backend servers that it no
 * longer lists have gone.
 */
void at_sync_note_steady(at_sync_t *sync, uint64_t steady_ms, uint64_t age_ms);
/* at_sync_note_reader() takes the age that the reader has sent. */
void at_sync_note_reader(at_sync_t *sync, uint64_t age_ms);
/*
 * at_sync_check_confirmation() is called several times a second. A reader
 * without a confirmation in 1,200 ms states that the platform is away; a
 * follower without one in 1,500 ms lists both kinds of objects by itself.
 */
void at_sync_check_confirmation(at_sync_t *sync);
/*
 * at_sync_compare_digest() lists the backend servers again when the digest of
 * the reader's list has differed from this instance's for 700 ms.
 */
void at_sync_compare_digest(at_sync_t *sync, uint64_t reader_digest);
/* at_sync_digest() returns the digest of the list of backend servers. */
uint64_t at_sync_digest(const at_sync_t *sync);
/*
 * at_sync_compare_version() takes the version of the newest change of a backend
 * server that the reader of another data centre knows. A reader that does not
 * know it within 700 ms lists both kinds of objects again.
 */
void at_sync_compare_version(at_sync_t *sync, uint64_t version);
/* at_sync_servers_version() returns that version for this instance. */
uint64_t at_sync_servers_version(const at_sync_t *sync);
/*
 * at_sync_is_complete() returns non-zero if both kinds of objects have been
 * listed completely.
 */
int at_sync_is_complete(const at_sync_t *sync);
/*
 * at_sync_is_platform_away() returns non-zero if the last call about either
 * kind of object failed, or if the platform did not respond to this instance
 * when it was the reader and has not responded since.
 */
int at_sync_is_platform_away(const at_sync_t *sync);

#endif
