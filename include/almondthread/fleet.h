/*
 * fleet.h - the backend servers of a deployment: what each holds, what is in
 * flight there from this instance and from the others, how far it can be
 * trusted, and which of them a request should go to.
 *
 * Pure: times are passed in, in microseconds of a clock that never goes
 * back. Entries come from the platform's list, loads of other instances from
 * their reports.
 *
 * The prediction for a model engine is
 *
 *   (prompt tokens in flight without a first event + own prompt
 *      less what the engine keeps of it) x time a token
 *     + a place's share of the batch for each request in flight
 *     + distance to its data centre,
 *
 * times the server's own recent ratio of observed to predicted time.
 */
#ifndef ALMONDTHREAD_FLEET_H
#define ALMONDTHREAD_FLEET_H

#include "almondthread/site.h"

#define AT_RESIDENT_MODELS_MAX 8u    /* models on one engine */
#define AT_RESIDENT_ADAPTERS_MAX 16u /* adapters of one model on one engine */
#define AT_COPIES_MAX 16u        /* copies of weights in memory or on disk */
#define AT_PREFIX_PARTS_MAX 8u   /* parts of one prompt */
#define AT_LOAD_REPORTS_MAX 256u /* backend servers in one report */

typedef struct at_resident_adapter {
	at_tag_t tag; /* of "model/adapter" */
	at_name_t name;
} at_resident_adapter_t;

typedef struct at_resident_model {
	at_tag_t tag;
	at_name_t name;
	uint32_t version;
	at_resident_adapter_t adapters[AT_RESIDENT_ADAPTERS_MAX];
	size_t adapter_count;
} at_resident_model_t;

/* The models on one engine, with their adapters. */
typedef struct at_resident_set {
	at_resident_model_t models[AT_RESIDENT_MODELS_MAX];
	size_t count;
} at_resident_set_t;

/* at_resident_set_has() tells whether model and adapter (0: none) are there. */
int at_resident_set_has(
    const at_resident_set_t *set, at_tag_t model, at_tag_t adapter);
/* Both add or take away; what does not fit is left out. */
void at_resident_set_update_model(
    at_resident_set_t *set, const at_name_t *model, int held);
void at_resident_set_update_adapter(at_resident_set_t *set,
    const at_name_t *model, const at_name_t *adapter, int held);
/* at_resident_set_adapter_count() counts the adapters of all models. */
size_t at_resident_set_adapter_count(const at_resident_set_t *set);

/* What the platform's list says of one backend server. */
typedef struct at_server_entry {
	at_name_t id;
	at_tag_t tag;
	at_tag_t service;
	at_tag_t data_centre;
	char address[AT_ADDR_SIZE];
	uint64_t started_ms; /* start of this life, by the server's own date */
	uint64_t heartbeat_sequence; /* number of this word of it on itself, in
					this life */
	uint32_t slots;
	uint32_t warmup_ms; /* it is slow for so much longer */
	int is_leaving;
	uint32_t remaining_ms; /* until it is gone; 0: not said */
	at_resident_set_t residents;
	at_tag_t in_memory[AT_COPIES_MAX];
	size_t in_memory_count;
	at_tag_t on_disk[AT_COPIES_MAX];
	size_t on_disk_count;
} at_server_entry_t;

/* Time constant in which tokens sent lately fade. */
#define AT_RECENT_TOKENS_DECAY_US 400000.

/* What is in flight at one backend server. */
typedef struct at_load {
	uint32_t active;
	uint32_t prefill_tokens; /* of requests without a first event */
	uint64_t kv_tokens;      /* their prompts and what they may generate */
	uint32_t recent_tokens;  /* prompts sent there lately, fading */
	int unreachable;         /* in reports: no connection can be made */
} at_load_t;

/* One backend server in an instance's report. */
typedef struct at_load_report {
	at_tag_t server;
	at_load_t load;
} at_load_report_t;

/* A part of a prompt and how many tokens it has. */
typedef struct at_prefix_part {
	uint64_t id;
	uint32_t tokens;
} at_prefix_part_t;

/* What a request asks of a backend server. */
typedef struct at_work {
	at_tag_t service;
	at_tag_t model;              /* 0: a plain service */
	at_tag_t adapter;            /* 0: the model itself */
	const at_name_t *model_name; /* lent by the request; NULL: no model */
	const at_name_t *adapter_name;
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* expected */
	at_prefix_part_t prefix[AT_PREFIX_PARTS_MAX];
	size_t prefix_count;
	int has_slack; /* its objective leaves room for others to go first */
	at_tag_t avoid[AT_SITE_ATTEMPTS_MAX]; /* tried before; 0: none */
} at_work_t;

typedef struct at_server at_server_t;
typedef struct at_fleet at_fleet_t;

/* What can be done for a work now. */
typedef enum at_choice_result {
	AT_CHOICE_SERVER,       /* it can go to the chosen backend server */
	AT_CHOICE_FULL,         /* those that could run it have no room */
	AT_CHOICE_NOT_RESIDENT, /* none holds its model or adapter */
	AT_CHOICE_NO_SERVER, /* the service has no backend server to be used */
	AT_CHOICE_RESULT_COUNT
} at_choice_result_t;

extern const char *const at_choice_result_names[];

typedef struct at_choice {
	at_server_t *server;
	uint64_t predicted_us; /* to the first event */
	uint32_t free_slots;   /* requests like this one that fit now, in all */
	uint32_t candidates;   /* that hold what is asked for */
	uint32_t
	    batch_slots;  /* in the batches of the holders, or of one to be */
	uint32_t holders; /* that hold the model, if not the adapter */
} at_choice_t;

/* How a request at a backend server ended, as far as it tells of that. */
typedef enum at_server_outcome {
	AT_OUTCOME_SUCCESS,
	AT_OUTCOME_REFUSED, /* it did not run it */
	AT_OUTCOME_FAILED,  /* it broke off, answered wrongly or not at all */
	AT_OUTCOME_UNREACHABLE, /* no connection could be made */
	AT_OUTCOME_UNKNOWN,     /* ended for reasons of ours or the caller's */
	AT_OUTCOME_COUNT
} at_server_outcome_t;

/* at_fleet_new() returns NULL without memory; seed breaks ties. */
at_fleet_t *at_fleet_new(at_tag_t data_centre, uint64_t seed);
void at_fleet_delete(at_fleet_t *fleet);
/* at_fleet_set_site() takes a reference of its own. */
void at_fleet_set_site(at_fleet_t *fleet, at_site_t *site);

/*
 * at_fleet_update_server() takes over an entry; one of an earlier life of the
 * same server is ignored, one of a later life starts it anew. Returns the
 * server, or NULL when the entry was ignored or there is no memory.
 */
at_server_t *at_fleet_update_server(
    at_fleet_t *fleet, const at_server_entry_t *entry);
/* at_fleet_expire_notes() drops notes whose time is over; once a second or so.
 */
void at_fleet_expire_notes(at_fleet_t *fleet, uint64_t now_us);
/* at_fleet_remove() gives a server nothing new; open requests keep it. */
void at_fleet_remove(at_fleet_t *fleet, at_tag_t server);

at_server_t *at_fleet_find(const at_fleet_t *fleet, at_tag_t server);
void at_fleet_each(const at_fleet_t *fleet,
    void (*visit)(void *ctx, at_server_t *server), void *ctx);
size_t at_fleet_count(const at_fleet_t *fleet);

const at_server_entry_t *at_server_entry(const at_server_t *server);
/* at_server_load() sums what is in flight there from every instance. */
at_load_t at_server_load(const at_server_t *server, uint64_t now_us);
/* at_server_has_resident() tells whether it has the model and the adapter. */
int at_server_has_resident(
    const at_server_t *server, at_tag_t model, at_tag_t adapter);
/*
 * Both record what an order has done, before the platform's list tells it. A
 * note on an adapter stands until another one or a new life; one on a model
 * gives way to the list AT_NOTE_LIFETIME_US after it was last made. Whoever
 * unloads a model makes it again until the engine has ended its requests, as
 * the list shows the model until then.
 */
#define AT_NOTE_LIFETIME_US 3000000u
void at_server_note_model(
    at_server_t *server, const at_name_t *model, int held, uint64_t now_us);
void at_server_note_adapter(at_server_t *server, const at_name_t *model,
    const at_name_t *adapter, int held);
/*
 * at_server_apply_residents() takes over an engine's own report, which goes
 * before the list and before notes that are older than it.
 */
void at_server_apply_residents(
    at_server_t *server, const at_server_entry_t *held);
/*
 * at_server_note_misplaced() says that a server does not hold what was asked of
 * it, or is another one: it is not asked for that again until the list or a
 * note says otherwise.
 */
void at_server_note_misplaced(
    at_server_t *server, const at_work_t *work, uint64_t now_us);
/* at_server_is_available() tells whether it may be given requests now. */
int at_server_is_available(const at_server_t *server, uint64_t now_us);

/* at_fleet_choose() changes nothing but the sequence of ties. */
at_choice_result_t at_fleet_choose(at_fleet_t *fleet, const at_work_t *work,
    uint64_t now_us, at_choice_t *choice);

/*
 * A request on its way: at_server_note_sent() counts it and keeps the server
 * until at_fleet_note_ended(). at_server_note_first_event() says when its first
 * event, or the whole answer of a plain service, came.
 */
void at_server_note_sent(
    at_server_t *server, const at_work_t *work, uint64_t now_us);
void at_server_note_first_event(at_server_t *server, const at_work_t *work,
    uint64_t predicted_us, uint64_t seen_us);
void at_fleet_note_ended(at_fleet_t *fleet, at_server_t *server,
    const at_work_t *work, int had_first_event, at_server_outcome_t outcome,
    uint64_t now_us);

/*
 * at_fleet_fill_report() fills rows with this instance's own loads and returns
 * how many there are.
 */
size_t at_fleet_fill_report(const at_fleet_t *fleet, at_load_report_t *rows,
    size_t max, uint64_t now_us);
/* at_fleet_apply_report() replaces what an instance reported before. */
void at_fleet_apply_report(at_fleet_t *fleet, at_tag_t instance,
    const at_load_report_t *rows, size_t count, uint64_t now_us);
/*
 * at_fleet_apply_unreachable() takes the word of an instance near this one
 * that it cannot connect to a server; what was seen here goes before it.
 */
void at_fleet_apply_unreachable(
    at_fleet_t *fleet, at_tag_t server, uint64_t now_us);
/* at_fleet_expire_reports() drops reports older than max_age_us. */
void at_fleet_expire_reports(
    at_fleet_t *fleet, uint64_t now_us, uint64_t max_age_us);

#endif
