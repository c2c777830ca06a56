/*
 * sync.h - copies of the platform's configuration and of its list of backend
 * servers. One instance of each data centre, the reader, watches the platform;
 * the others follow its reports. Each knows up to which version of the platform
 * it has all changes, whoever brought them, and asks another instance for what
 * it lacks before it asks the platform.
 */
#ifndef ALMONDTHREAD_ENTRY_SYNC_H
#define ALMONDTHREAD_ENTRY_SYNC_H

#include "almondthread/stream_origins.h"
#include "entry/peers/gossip.h"
#include "platform/store.h"

typedef struct at_sync at_sync_t;

/* What it needs, borrowed. */
typedef struct at_sync_deps {
	struct ev_loop *loop;
	at_counters_t *counters;
	const at_identity_t *identity;
	const at_entry_settings_t *settings;
	at_rng_t *rng;
	at_roster_t *roster;
	at_fleet_t *fleet;
	at_gossip_t *gossip;
	at_stream_origins_t *origins; /* is told of the versions of servers */
	at_objects_t objects;
	at_site_t *const *site; /* points to NULL before the first one */
	/* Applies a newer configuration, and takes over the reference. */
	void (*set_site)(void *ctx, at_site_t *site);
	/* The list of servers has changed. */
	void (*on_servers_changed)(void *ctx);
	/* A question of at_sync_ask() has ended. */
	void (*on_list_asked)(void *ctx);
	/* Non-zero if the last calls to the platform failed. */
	int (*is_platform_away)(void *ctx);
	void *ctx;
} at_sync_deps_t;

/* at_sync_new() returns NULL if out of memory. */
at_sync_t *at_sync_new(const at_sync_deps_t *deps);
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
 * at_sync_ask() asks the platform for all changes to the list of servers up to
 * this moment, whoever reads the lists. Returns a ticket, which
 * at_sync_has_answer() takes: the list is complete up to that moment once it
 * returns non-zero. A question without a response fails after 500 ms; those who
 * still wait after on_list_asked() ask again.
 *
 * at_sync_is_unanswered() returns non-zero if the platform did not respond to
 * the last question that has ended, less than 500 ms ago.
 */
uint64_t at_sync_ask(at_sync_t *sync);
int at_sync_has_answer(const at_sync_t *sync, uint64_t ticket);
int at_sync_is_unanswered(const at_sync_t *sync);
/*
 * at_sync_set_reader() sets whether this instance reads the platform's lists
 * for its data centre; else it follows the reports of the reader.
 */
void at_sync_set_reader(at_sync_t *sync, int is_reader);
int at_sync_is_reader(const at_sync_t *sync);

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
/*
 * at_sync_responded_ms() returns when the platform last responded to a call
 * about the copies, or 0.
 */
uint64_t at_sync_responded_ms(const at_sync_t *sync);
/*
 * at_sync_age_ms() returns the time since when the platform has confirmed that
 * both kinds of objects are complete.
 */
uint64_t at_sync_age_ms(const at_sync_t *sync);
/*
 * at_sync_servers_since() returns the version of the platform up to which all
 * changes of servers are known, 0 while they are listed.
 */
uint64_t at_sync_servers_since(const at_sync_t *sync);
/* at_sync_section() returns its section of the reports. */
at_report_section_t at_sync_section(at_sync_t *sync);

#endif
