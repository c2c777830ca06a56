/*
 * fleet_private.h - shapes shared by the files of the fleet: fleet.c keeps
 * the servers and their loads, residents.c what is on them, choose.c picks one,
 * server_health.c judges them.
 */
#ifndef ALMONDTHREAD_FLEET_PRIVATE_H
#define ALMONDTHREAD_FLEET_PRIVATE_H

#include <uthash.h>

#include "almondthread/fleet.h"

#define NOTES_MAX 48u      /* of one engine */
#define PREFIXES_KEPT 256u /* prompt parts remembered of one engine */

/* How far a backend server can be trusted. */
typedef struct server_health {
	uint32_t failures; /* in a row */
	int unreachable;   /* the last one was without a connection */
	uint64_t well_us;  /* when a request last went well; 0: never */
	uint64_t rest_until_us;
	uint32_t slow_milli; /* observed to predicted time, in thousandths */
} server_health_t;

/* A change that an order has made, ahead of the list. */
typedef struct note {
	at_name_t model;
	at_name_t adapter; /* empty: the model itself */
	int held;
	uint64_t stands_until_us;
} note_t;

struct at_server {
	at_server_entry_t entry; /* held: the list's, changed by the notes */
	at_resident_set_t listed_held;
	note_t notes[NOTES_MAX];
	size_t note_count;
	int listed;
	uint32_t open;        /* requests of ours that hold a pointer to it */
	at_load_t own;        /* without recent tokens */
	double recent_tokens; /* prompts of ours sent there, fading */
	uint64_t recent_us;   /* as of then */
	at_load_t others;
	server_health_t trust;
	uint64_t prefixes[PREFIXES_KEPT]; /* recent parts, by hash */
	UT_hash_handle hh;
};

/* The last report of another instance. */
typedef struct peer_report {
	at_tag_t instance;
	uint64_t heard_us;
	at_load_report_t *rows;
	size_t count;
	UT_hash_handle hh;
} peer_report_t;

struct at_fleet {
	at_tag_t data_centre;
	uint64_t ties; /* state of the generator that breaks ties */
	at_site_t *site;
	at_server_t *servers;
	peer_report_t *reports;
};

/* server_health.c */
void server_health_init(server_health_t *trust);
void server_health_note_outcome(
    server_health_t *trust, at_server_outcome_t outcome, uint64_t now_us);
void server_health_apply_unreachable(server_health_t *trust, uint64_t now_us);
void server_health_note_time(
    server_health_t *trust, uint64_t predicted_us, uint64_t seen_us);
/* Whether it may get a request now, and whether as its one trial. */
int server_health_allows(
    const server_health_t *trust, uint64_t now_us, uint32_t open);

/* residents.c */
/* Takes over what the list says is held. */
void residents_update_list(at_server_t *server, const at_server_entry_t *entry);
/* Drops what was noted in an earlier life. */
void residents_clear_notes(at_server_t *server);

/* choose.c */
void prefixes_add(at_server_t *server, const at_work_t *work);

#endif
