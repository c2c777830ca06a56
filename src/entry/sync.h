/*
 * sync.h - copies of the platform's configuration and of its list of backend
 * servers. One instance of each data centre, the reader, watches the platform;
 * the others follow its reports. Each knows up to which version of the platform
 * it has all changes, whoever brought them, and asks another instance for what
 * it lacks before it asks the platform.
 */
#ifndef ALMONDTHREAD_ENTRY_SYNC_H
#define ALMONDTHREAD_ENTRY_SYNC_H

#include "entry/documents.h"
#include "entry/entry.h"

/* at_sync_new() returns NULL if out of memory. */
at_sync_t *at_sync_new(at_entry_t *entry);
/* at_sync_start() lists both kinds of objects. */
void at_sync_start(at_sync_t *sync);
void at_sync_delete(at_sync_t *sync);
/*
 * at_sync_check() asks the platform whether there are changes that the watches
 * have not brought. It does nothing within 250 ms of the check before, or while
 * four checks are without a response.
 */
void at_sync_check(at_sync_t *sync);
/*
 * at_sync_set_reader() sets whether this instance reads the platform's lists
 * for its data centre; else it follows the reports of the reader.
 */
void at_sync_set_reader(at_sync_t *sync, int is_reader);
int at_sync_is_reader(const at_sync_t *sync);

/* What an instance reports of its copies. */
typedef struct at_sync_report {
	at_tag_t instance;
	int is_near; /* of this data centre */
	uint64_t config_version;
	uint64_t servers_since; /* it has all changes of servers up to it */
	/* Of a reader: */
	int reads;
	int platform_away;
	uint64_t servers_changed; /* it knows of no change after it */
	uint64_t servers_newest;  /* highest version stated for a change */
	uint64_t servers_digest;
	uint64_t age_ms;     /* of the platform's last confirmation */
	uint64_t age_max_ms; /* beyond which it gives way; 0: not stated */
	uint64_t steady_ms;  /* see at_sync_steady_ms() */
} at_sync_report_t;

/*
 * at_sync_apply_report() takes a report, after the changes in it. A follower
 * that has all changes that the reader has is as up to date as the reader;
 * otherwise it asks for the others.
 */
void at_sync_apply_report(at_sync_t *sync, const at_sync_report_t *report);
/* at_sync_fill_report() fills what this instance reports. */
void at_sync_fill_report(const at_sync_t *sync, at_sync_report_t *report);

/*
 * at_sync_feed_server() applies another instance's report of one backend
 * server; text is NULL when it was deleted. at_sync_feed_range() states that
 * these were all changes between two versions.
 */
void at_sync_feed_server(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len);
void at_sync_feed_range(at_sync_t *sync, uint64_t from, uint64_t to);
/* at_sync_feed_config() does so with the configuration. */
void at_sync_feed_config(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len);
/*
 * at_sync_servers_base() returns the version from which the changes since the
 * last ones that were sent lead on.
 */
uint64_t at_sync_servers_base(const at_sync_t *sync);
/* at_sync_servers_since() returns up to which it has all; 0 while it lists. */
uint64_t at_sync_servers_since(const at_sync_t *sync);

/*
 * at_sync_check_confirmation() is called several times a second. A reader
 * without a confirmation for too long states that the platform is away; a
 * follower without one asks the platform.
 */
void at_sync_check_confirmation(at_sync_t *sync);
/*
 * at_sync_is_complete() returns non-zero if both kinds of objects are known
 * completely.
 */
int at_sync_is_complete(const at_sync_t *sync);
/*
 * at_sync_is_platform_away() returns non-zero if the last call about either
 * kind of object failed, or if the platform did not respond to this instance
 * when it was the reader and has not responded since.
 */
int at_sync_is_platform_away(const at_sync_t *sync);
/* at_sync_documents() returns the exchange of large changes. */
at_documents_t *at_sync_documents(at_sync_t *sync);

#endif
