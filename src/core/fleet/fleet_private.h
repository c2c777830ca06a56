/*
 * fleet_private.h - structures shared by the files of the fleet: fleet.c has
 * the backend servers and their load, residents.c the models and adapters
 * resident on them, choose.c selects one for a request, server_gate.c has the
 * conditions on which it may be sent there, data_centres.c which of them are
 * evacuated and in which regions they are, server_health.c counts failures and
 * slowness, server_limit.c and server_room.c have this instance's parts of what
 * servers take from all instances, server_cold.c knows which engines are cold.
 */
#ifndef ALMONDTHREAD_FLEET_PRIVATE_H
#define ALMONDTHREAD_FLEET_PRIVATE_H

#include <uthash.h>

#include "almondthread/fleet.h"
#include "almondthread/service_times.h"

#define NOTES_MAX 48u      /* notes on one server */
#define PREFIX_HASHES 256u /* slots of the prefix table of one server */

/* Failures and speed of a backend server. */
typedef struct server_health {
	uint32_t failures;     /* consecutive failures */
	int unreachable;       /* the last failure was a failed connection */
	uint64_t succeeded_us; /* time of the last success; 0 if none */
	uint64_t backoff_until_us;
	/* Ratio of observed to predicted time, in thousandths. */
	uint32_t slowdown_milli;
} server_health_t;

/* The rate of requests that a backend server takes from all instances. */
typedef struct server_limit {
	uint32_t rate_milli;  /* requests in 1,000 s; 0: it has named none */
	uint64_t received_us; /* when it last did, or named none any more */
	uint32_t share_milli; /* this instance's part of it */
	uint64_t level_micro; /* saved up, in millionths of a request */
	/* What could not be saved up beside that since the last request. */
	uint64_t unused_micro;
	uint64_t filled_us;
	/* While the engine is cold, this part counts instead of the other. */
	uint64_t cold_until_us; /* 0: it is not cold, or takes any rate */
	uint32_t cold_share_milli;
	uint64_t cold_share_until_us; /* the part is 0 from then on */
} server_limit_t;

/* Until when an engine is cold, and what it then takes. */
typedef struct server_cold {
	int has_service;      /* what the service states is known */
	uint32_t start_ms;    /* after a start */
	uint32_t per_s_milli; /* of all instances; 0: no limit */
	uint32_t group_milli; /* that instances which agree may send in 1 s */
	at_cold_source_t source;
	uint64_t until_us;
	uint64_t unreachable_until_us; /* it may have stopped; 0: no */
	uint64_t noted_us;             /* when one of these was set */
	uint64_t stated_us; /* newest answer to this instance; 0: none */
	/* What an answer to any instance has stated, and when it came. */
	uint64_t answer_until_us;
	uint64_t answer_us;
	int is_marked; /* by at_server_mark_cold() */
	/* An entry that has not been looked at yet. */
	int has_pending;
	at_cold_source_t pending_source;
	uint32_t pending_ms;
	uint64_t age_ms; /* of the incarnation, by two clocks; 0: not known */
} server_cold_t;

/* How many instances may send to a cold engine, and their rate together. */
typedef struct server_cold_plan {
	uint32_t senders;
	uint32_t rate_milli;
} server_cold_plan_t;

/* This instance's part of the room at a brittle server. */
typedef struct server_room {
	uint32_t share;   /* requests at a time */
	int is_spaced;    /* without a share, one may be sent now and then */
	uint64_t gap_us;  /* between two such requests */
	uint64_t sent_us; /* the last request */
	uint64_t rejected_us; /* the server rejected one, of any instance */
	uint64_t rejected_here_us; /* one of this instance */
} server_room_t;

/* A service whose servers are brittle, or were recently. */
typedef struct fleet_brittle {
	at_tag_t service;
	int is_brittle;
	uint64_t received_us;
	/* When, and from what, this instance's part was computed. */
	uint64_t shared_us;
	uint32_t rank;
	uint32_t instances;
} fleet_brittle_t;

/*
 * A model or adapter that was loaded or unloaded by an order, or found missing
 * by a request, before the instance list shows it.
 */
typedef struct note {
	at_name_t model;
	at_name_t adapter; /* empty for the model itself */
	int resident;
	uint64_t expires_us;
} note_t;

struct at_server {
	/* Its residents are those of the list, changed by the notes. */
	at_server_entry_t entry;
	at_resident_set_t listed_residents;
	note_t notes[NOTES_MAX];
	size_t note_count;
	int is_listed;
	int has_stated_leaving; /* in an answer */
	int is_evacuated;       /* its data centre is */
	at_tag_t region;        /* of its data centre; 0: unknown */
	/* No requests until then, and one at a time later; 0: no pause. */
	uint64_t paused_until_us;
	uint32_t references; /* requests of this instance that point to it */
	uint64_t removed_us; /* first seen to be not listed; 0: it is listed */
	/* Load from this instance, except recent_tokens. */
	at_load_t own_load;
	/* Prompt tokens sent there, decayed up to recent_us. */
	double recent_tokens;
	uint64_t recent_us;    /* time of the last decay */
	at_load_t peer_load;   /* sum of the newest reports of peers */
	at_load_t member_load; /* scratch of at_fleet_sum_reports() */
	server_health_t health;
	at_speed_t *speed; /* belongs to the fleet's times; may be NULL */
	int is_slow;       /* as at_server_note_speed() has returned it */
	server_limit_t limit;
	server_cold_t cold;
	server_room_t room;
	/* Hash table of the prompt prefixes last sent there. */
	uint64_t prefixes[PREFIX_HASHES];
	UT_hash_handle hh;
};

/* The last report of another instance. */
typedef struct peer_report {
	at_tag_t instance;
	uint64_t received_us;
	at_load_report_t *entries;
	size_t count;
	UT_hash_handle hh;
} peer_report_t;

/* A data centre that was evacuated once, or whose region is known. */
typedef struct fleet_data_centre {
	at_tag_t tag;
	int is_evacuated;
	at_tag_t region; /* 0: unknown */
} fleet_data_centre_t;

struct at_fleet {
	at_tag_t data_centre;
	uint64_t random_state; /* state of the random numbers that break ties */
	at_site_t *site;
	at_service_times_t *times; /* owned */
	at_server_t *servers;
	peer_report_t *reports;
	fleet_brittle_t brittle[AT_BRITTLE_SERVICES_MAX];
	size_t brittle_count;
	double mean_tokens; /* of recent requests */
	int has_cold_bound;
	double cold_overage;
	double cold_tolerance;
	at_hold_t holds[AT_HOLDS_MAX];
	size_t hold_count;
	fleet_data_centre_t data_centres[AT_FLEET_DATA_CENTRES_MAX];
	size_t data_centre_count;
};

/* server_health.c */
void server_health_init(server_health_t *health);
void server_health_note_outcome(
    server_health_t *health, at_server_outcome_t outcome, uint64_t now_us);
/* Ends the backoff; the speed is kept. */
void server_health_forget_failures(server_health_t *health);
void server_health_apply_unreachable(server_health_t *health, uint64_t now_us);
void server_health_note_time(
    server_health_t *health, uint64_t predicted_us, uint64_t observed_us);
/*
 * Returns non-zero if the server may get a request now. After a backoff it may
 * get one only while no request of this instance is in flight there.
 */
int server_health_allows(
    const server_health_t *health, uint64_t now_us, uint32_t in_flight);

/* holds.c */
/* Returns non-zero if a server is held for other requests than this one. */
int fleet_is_held(
    const at_fleet_t *fleet, at_server_t *server, const at_work_t *work);

/* data_centres.c */
/* Sets what the server has from its data centre, after a change of either. */
void data_centres_apply(const at_fleet_t *fleet, at_server_t *server);

/* server_gate.c */
typedef enum server_gate {
	SERVER_GATE_OPEN,
	SERVER_GATE_EXCLUDED, /* of another service, leaving, or tried before */
	SERVER_GATE_OTHER_VERSION, /* than the one that began the stream */
	SERVER_GATE_BACKOFF,       /* after failures */
	SERVER_GATE_LIMITED,       /* its limit allows none now */
	SERVER_GATE_COLD,          /* it is cold, and takes none now */
	SERVER_GATE_PAUSED,        /* it wants none, or one at a time */
	SERVER_GATE_EVACUATED,     /* its data centre is */
	SERVER_GATE_REGION,        /* in none of the allowed regions */
} server_gate_t;
/* Returns whether a request may go to the server now, or why not. */
server_gate_t server_gate_check(
    at_server_t *server, const at_work_t *work, uint64_t now_us);

/* server_limit.c */
/*
 * Takes what an answer of the server states: a rate, or 0 for none. Returns
 * non-zero if that is another rate than before. An older statement is ignored.
 */
int server_limit_note(
    server_limit_t *limit, uint32_t rate_milli, uint64_t received_us);
/* Sets this instance's part, from its rank among the instances. */
void server_limit_set_share(
    server_limit_t *limit, uint32_t rank, uint32_t instances, uint64_t now_us);
/* Returns non-zero if a request may be sent; take() counts one. */
int server_limit_allows(server_limit_t *limit, uint64_t now_us);
void server_limit_take(server_limit_t *limit, uint64_t now_us);
/* Returns whether one more request could have been sent since the last one. */
int server_limit_is_unused(const server_limit_t *limit);
/* Returns the time until a request may be sent, as of the last call. */
uint64_t server_limit_wait_us(const server_limit_t *limit);

/* Returns what is used of the rate that the server has named; 0: none. */
uint32_t server_limit_named_milli(const server_limit_t *limit);
/* States until when the engine is cold (0: not at all); its part is 0 first. */
void server_limit_set_cold(
    server_limit_t *limit, uint64_t until_us, uint64_t now_us);
/* Sets this instance's part while the engine is cold; it ends at until_us. */
void server_limit_set_cold_share(server_limit_t *limit, uint32_t share_milli,
    uint64_t until_us, uint64_t now_us);

/* server_cold.c */
/* Returns zero if the server has never been cold; settling changes nothing. */
static inline int
server_cold_is_noted(const server_cold_t *cold)
{
	return cold->has_pending || cold->until_us != 0 ||
	       cold->unreachable_until_us != 0;
}
/* Takes what the configuration states of the server's service. */
void server_cold_set_service(const at_fleet_t *fleet, at_server_t *server);
/* Takes a new entry; is_new if its incarnation was not known. */
void server_cold_note_entry(
    server_cold_t *cold, const at_server_entry_t *entry, int is_new);
/* A server that cannot be reached may have stopped, and is cold afterwards. */
void server_cold_note_unreachable(at_server_t *server, uint64_t now_us);
/* This instance did not reach it for reasons of its own. */
void server_cold_forget_unreachable(server_cold_t *cold);
/* Brings the limiter up to date with what has been noted. */
void server_cold_settle(at_server_t *server, uint64_t now_us);
/*
 * Returns who of a group of instances may send. group_milli is what the group
 * may send in one second, in thousandths of a request.
 */
server_cold_plan_t server_cold_plan(
    uint32_t per_s_milli, uint32_t group_milli, uint32_t instances);

/* server_room.c */
/* A request is sent to the server. */
void server_room_take(server_room_t *room, uint64_t now_us);
/*
 * Returns how many more requests a brittle server may get from this instance
 * now; load is that of all instances.
 */
uint32_t server_room_free(
    const at_server_t *server, const at_load_t *load, uint64_t now_us);
/* Returns this instance's part of the memory for tokens. */
uint64_t server_room_kv_tokens(const at_server_t *server, uint64_t kv_tokens);

/* residents.c */
/*
 * Replaces the residents by those of the instance list and applies the notes.
 */
void residents_update_list(at_server_t *server, const at_server_entry_t *entry);
/* Discards the notes, which were made for an earlier incarnation. */
void residents_clear_notes(at_server_t *server);

/* choose.c */
/* Returns the next of the random numbers that break ties, below 2^31. */
uint64_t fleet_random(at_fleet_t *fleet);
/* Records the prefix of a request as sent to the server. */
void prefixes_add(at_server_t *server, const at_work_t *work);

#endif
