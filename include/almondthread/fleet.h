/*
 * fleet.h - the backend servers of a deployment as one instance sees them:
 * the residents of each, the load from this instance and from others, its
 * health, and the choice of a server for a request.
 *
 * Times are passed in, in microseconds of a monotonic clock. Entries come
 * from the platform's list, loads of other instances from their reports.
 *
 * The predicted time to the first event of a model engine is
 *
 *   (prompt tokens in flight without a first event + own prompt
 *      less the prefix that the engine has cached) x time per token
 *     + the time of one batch slot for each request in flight
 *     + distance to its data centre,
 *
 * multiplied by the server's recent ratio of observed to predicted time and by
 * its factor (service_times.h).
 */
#ifndef ALMONDTHREAD_FLEET_H
#define ALMONDTHREAD_FLEET_H

#include "almondthread/roster.h"
#include "almondthread/service_times.h"
#include "almondthread/site.h"

#define AT_RESIDENT_MODELS_MAX 8u    /* models on one engine */
#define AT_RESIDENT_ADAPTERS_MAX 16u /* adapters of one model on one engine */
#define AT_COPIES_MAX 16u         /* copies of weights in memory or on disk */
#define AT_PREFIX_PARTS_MAX 8u    /* parts of one prompt */
#define AT_LOAD_REPORTS_MAX 1024u /* backend servers in one load report */

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

/* The models in one engine's memory, with their adapters. */
typedef struct at_resident_set {
	at_resident_model_t models[AT_RESIDENT_MODELS_MAX];
	size_t count;
} at_resident_set_t;

/*
 * at_resident_set_has() returns non-zero if the model and the adapter (0: none)
 * are resident.
 */
int at_resident_set_has(
    const at_resident_set_t *set, at_tag_t model, at_tag_t adapter);

/*
 * Both add (resident non-zero) or remove a model or adapter. An addition
 * beyond the capacity of the set is ignored.
 */
void at_resident_set_update_model(
    at_resident_set_t *set, const at_name_t *model, int resident);
void at_resident_set_update_adapter(at_resident_set_t *set,
    const at_name_t *model, const at_name_t *adapter, int resident);

/* at_resident_set_adapter_count() counts the adapters of all models. */
size_t at_resident_set_adapter_count(const at_resident_set_t *set);

/* One backend server in the platform's list. */
typedef struct at_server_entry {
	at_name_t id;
	at_tag_t tag;
	at_tag_t service;
	at_tag_t data_centre;
	at_tag_t software; /* version of its software, not of the weights */
	char address[AT_ADDR_SIZE];
	uint64_t started_ms; /* of this incarnation, by the server's clock */
	uint64_t heartbeat_sequence; /* of the entry, in this incarnation */
	uint32_t slots;
	uint32_t warmup_ms; /* remaining time in which it is cold */
	int has_warmup;     /* warmup_ms is stated */
	/* When this instance read it, in ms since 1970; 0: not known. */
	uint64_t listed_ms;
	int is_leaving;
	uint32_t remaining_ms; /* until it stops; 0: not stated */
	at_resident_set_t residents;
	at_tag_t in_memory[AT_COPIES_MAX]; /* weights in its own memory */
	size_t in_memory_count;
	at_tag_t on_disk[AT_COPIES_MAX]; /* weights on its own disk */
	size_t on_disk_count;
} at_server_entry_t;

/* Time constant of the decay of recent_tokens. */
#define AT_RECENT_TOKENS_DECAY_US 400000.

/* Requests in flight at one backend server. */
typedef struct at_load {
	uint32_t active;
	uint32_t prefill_tokens; /* of requests without a first event */
	uint64_t kv_tokens;      /* prompts and what they may generate */
	uint32_t recent_tokens;  /* of prompts sent recently, decaying */
	int unreachable;         /* in reports: connections to it fail */
	uint32_t speed; /* in reports: as at_speed_report(); 0: not seen */
} at_load_t;

/* Load of one backend server in an instance's report. */
typedef struct at_load_report {
	at_tag_t server;
	at_load_t load;
} at_load_report_t;

/* A part of a prompt and its number of tokens. */
typedef struct at_prefix_part {
	uint64_t id;
	uint32_t tokens;
} at_prefix_part_t;

/* Lists of allowed regions, all of which apply to one request. */
#define AT_WORK_REGIONS_MAX 2u

/* What a request needs from a backend server. */
typedef struct at_work {
	at_tag_t service;
	/* Borrowed; used if the newest configuration lacks the service. */
	const at_site_service_t *own_service;
	at_tag_t model;              /* 0: a plain service */
	at_tag_t adapter;            /* 0: the base model */
	at_tag_t software;           /* version that began it; 0: any */
	const at_name_t *model_name; /* borrowed; NULL: no model */
	const at_name_t *adapter_name;
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* expected */
	at_prefix_part_t prefix[AT_PREFIX_PARTS_MAX];
	size_t prefix_count;
	int has_slack; /* it meets its objective even if others go first */
	uint32_t event_gap_ms; /* longest gap in an on-time stream; 0: any */
	uint32_t priority;     /* 0 is the most urgent */
	int is_resumption;     /* it goes on with a stream that has begun */
	/* Borrowed: those of its route and workspace; NULL: any region. */
	const at_site_regions_t *regions[AT_WORK_REGIONS_MAX];
	at_tag_t avoid[AT_SITE_ATTEMPTS_MAX]; /* tried before; 0: none */
} at_work_t;

typedef struct at_server at_server_t;
typedef struct at_fleet at_fleet_t;

/* Whether a request can be sent now. */
typedef enum at_choice_result {
	AT_CHOICE_SERVER, /* to the chosen backend server */
	AT_CHOICE_FULL,   /* servers that could run it have no free slot */
	AT_CHOICE_NOT_RESIDENT, /* its model or adapter is resident nowhere */
	/*
	 * No server of the service is available. For a request that needs a
	 * software version, while others serve too: none of that version is
	 * available or has the model and adapter.
	 */
	AT_CHOICE_NO_SERVER,
	/* All servers that could run it have named a limit, which is full. */
	AT_CHOICE_LIMITED,
	/* All servers that could run it want no request for some time. */
	AT_CHOICE_PAUSED,
	AT_CHOICE_RESULT_COUNT
} at_choice_result_t;

/* Names of results, indexed by at_choice_result_t. */
extern const char *const at_choice_result_names[];

typedef struct at_choice {
	at_server_t *server;
	uint64_t predicted_us; /* to the first event */
	uint32_t free_slots; /* of all candidates, for requests like this one */
	uint32_t candidates; /* servers with the model and adapter resident */
	/* Of all model_servers, or of one engine if there are none. */
	uint32_t batch_slots;
	uint32_t model_servers; /* servers with the model resident */
	/* Servers that it may not be sent to for these reasons. */
	uint32_t evacuated;
	uint32_t outside_regions;
	/* Of AT_CHOICE_LIMITED and AT_CHOICE_PAUSED: time until that changes.
	 */
	uint64_t closed_us;
	/* Of candidates that may get a request, whether or not one is free. */
	uint32_t open_slots;
	uint32_t open_active; /* requests there, of all instances */
	/*
	 * Of AT_CHOICE_FULL, if the rates of cold engines allow no request and
	 * no other engine is available: time until one of them may get one.
	 */
	uint64_t cold_us;
} at_choice_t;

/* How a request ended, as far as it shows the backend server's health. */
typedef enum at_server_outcome {
	AT_OUTCOME_SUCCESS,
	AT_OUTCOME_REFUSED,     /* it did not run the request */
	AT_OUTCOME_FAILED,      /* broken off, wrong response or none */
	AT_OUTCOME_UNREACHABLE, /* no connection could be made */
	AT_OUTCOME_UNKNOWN,     /* ended by us or by the caller */
	AT_OUTCOME_COUNT
} at_server_outcome_t;

/* at_fleet_new() returns NULL if out of memory; seed breaks ties. */
at_fleet_t *at_fleet_new(at_tag_t data_centre, uint64_t seed);
void at_fleet_delete(at_fleet_t *fleet);
/* at_fleet_service_times() returns what the fleet owns. */
at_service_times_t *at_fleet_service_times(const at_fleet_t *fleet);

/* at_fleet_set_site() takes its own reference. */
void at_fleet_set_site(at_fleet_t *fleet, at_site_t *site);

/*
 * at_fleet_update_server() takes over an entry of the list. An entry of an
 * earlier incarnation of the same server is ignored; one of a later incarnation
 * resets the server. Returns the server, or NULL if the entry was ignored or if
 * out of memory.
 */
at_server_t *at_fleet_update_server(
    at_fleet_t *fleet, const at_server_entry_t *entry);

/* at_fleet_expire_notes() drops expired notes; call it about once a second. */
void at_fleet_expire_notes(at_fleet_t *fleet, uint64_t now_us);

/*
 * at_fleet_remove() gives a server no new requests; it is freed when its
 * open requests have ended. One that has stated that it leaves, has asked for a
 * pause or has named a limit is kept for AT_REMOVED_SERVER_KEPT_US after that,
 * since its entry may only have lapsed; at_fleet_expire_removed(), to be called
 * several times a second, frees it then.
 */
#define AT_REMOVED_SERVER_KEPT_US 60000000u
void at_fleet_remove(at_fleet_t *fleet, at_tag_t tag);
void at_fleet_expire_removed(at_fleet_t *fleet, uint64_t now_us);
/* at_server_is_listed() returns zero for a server that has been removed. */
int at_server_is_listed(const at_server_t *server);
/* at_fleet_find() returns the server with a tag, or NULL. */
at_server_t *at_fleet_find(const at_fleet_t *fleet, at_tag_t tag);
/* at_fleet_each() visits all servers that the platform lists. */
void at_fleet_each(const at_fleet_t *fleet,
    void (*visit)(void *ctx, at_server_t *server), void *ctx);
/* at_fleet_count() returns the number of listed servers. */
size_t at_fleet_count(const at_fleet_t *fleet);
/* at_server_entry() returns a server's entry, which belongs to the server. */
const at_server_entry_t *at_server_entry(const at_server_t *server);

/* at_server_load() sums the load on a server from all instances. */
at_load_t at_server_load(const at_server_t *server, uint64_t now_us);

/*
 * at_server_has_resident() returns non-zero if the model and the adapter (0:
 * none) are resident.
 */
int at_server_has_resident(
    const at_server_t *server, at_tag_t model, at_tag_t adapter);

/*
 * Both record the effect of an order before the platform's list shows it. A
 * note on an adapter is valid until the next one or a new incarnation. A note
 * on a model gives way to the list AT_NOTE_LIFETIME_US after it was last made.
 * The caller that unloads a model repeats the note until the engine has ended
 * its requests, because the list shows the model until then.
 */
#define AT_NOTE_LIFETIME_US 3000000u
void at_server_note_model(
    at_server_t *server, const at_name_t *model, int resident, uint64_t now_us);
void at_server_note_adapter(at_server_t *server, const at_name_t *model,
    const at_name_t *adapter, int resident);

/*
 * at_server_apply_residents() takes over an engine's own report, which takes
 * precedence over the list and over notes that are older than it.
 */
void at_server_apply_residents(
    at_server_t *server, const at_server_entry_t *reported);

/*
 * at_server_note_misplaced() records that a server does not have the model
 * or adapter of a request, or is another server. It is not chosen for them
 * again until the list or a note says otherwise.
 */
void at_server_note_misplaced(
    at_server_t *server, const at_work_t *work, uint64_t now_us);

/*
 * at_server_note_silent() counts a failure of a server that is silent while a
 * request is open there. at_server_note_responding() clears it, once such a
 * request goes on; the request itself may take much longer to end.
 */
void at_server_note_silent(at_server_t *server, uint64_t now_us);
void at_server_note_responding(at_server_t *server, uint64_t now_us);

/*
 * at_server_note_leaving() records that a server has stated in an answer that
 * it leaves. It gets no requests and no orders any more, whatever the
 * platform's list says, until it is a new incarnation. Returns non-zero if that
 * was not known. at_fleet_fill_leaving() writes the servers that have stated
 * it, at most max, and returns their number. at_fleet_apply_leaving() takes the
 * same from another instance.
 */
typedef struct at_leaving_report {
	at_tag_t server;
	uint64_t started_ms; /* of the incarnation */
} at_leaving_report_t;
int at_server_note_leaving(at_server_t *server);
size_t at_fleet_fill_leaving(
    const at_fleet_t *fleet, at_leaving_report_t *entries, size_t max);
int at_fleet_apply_leaving(
    at_fleet_t *fleet, const at_leaving_report_t *report);

/*
 * at_server_note_pause() records that a server wants no request from this
 * instance before until_us. After that it gets one at a time until one of them
 * has succeeded.
 */
void at_server_note_pause(at_server_t *server, uint64_t until_us);

/*
 * Limits. A server may name the rate of requests that it takes from all
 * instances together. at_server_note_limit() records what an answer that came
 * at received_us states, in requests in 1,000 s, or 0 for none; it returns
 * non-zero if the limit has changed. An answer without a limit counts from when
 * its request was sent, as others may have named one since.
 * at_server_set_limit_share() sets this instance's part, from its rank among
 * the instances in an order that a hash of at_server_limit_key() gives. Until
 * then the part is 0. The key changes when nothing has been received about the
 * limit for AT_SERVER_LIMIT_TURN_US, so that other instances ask whether it is
 * still in force. A lower rate than AT_SERVER_LIMIT_MIN_MILLI counts as that.
 */
#define AT_SERVER_LIMIT_TURN_US 15000000u
#define AT_SERVER_LIMIT_MIN_MILLI 100u
#define AT_LIMIT_REPORTS_MAX 256u /* servers in one report */
int at_server_note_limit(
    at_server_t *server, uint32_t rate_milli, uint64_t received_us);
void at_server_set_limit_share(
    at_server_t *server, uint32_t rank, uint32_t instances, uint64_t now_us);
uint64_t at_server_limit_key(const at_server_t *server, uint64_t now_us);
/* at_server_limit_milli() returns the limit that is in force, or 0. */
uint32_t at_server_limit_milli(const at_server_t *server);

/*
 * Brittle servers fall over when they have to reject too many requests for want
 * of room. at_fleet_note_brittle() records what an answer that came at
 * received_us states of a service's servers; it returns non-zero if that has
 * changed. An answer that does not state it counts from when its request was
 * sent. at_fleet_share_room() sets this instance's part of the room, from its
 * rank among the instances; it is called often, and computes it when they have
 * changed and once a second. at_server_note_rejected() records that a server
 * has rejected a request, of this instance or another.
 * at_fleet_expire_brittle() ends what no answer has stated for long.
 */
#define AT_BRITTLE_SERVICES_MAX 16u
#define AT_BRITTLE_REJECTED_MAX 8u /* servers of one service in a report */
int at_fleet_note_brittle(
    at_fleet_t *fleet, at_tag_t service, int is_brittle, uint64_t received_us);
int at_fleet_is_brittle(const at_fleet_t *fleet, at_tag_t service);
void at_fleet_share_room(at_fleet_t *fleet, at_tag_t service, uint32_t rank,
    uint32_t instances, uint64_t now_us);
void at_server_note_rejected(at_server_t *server, int is_own, uint64_t now_us);
void at_fleet_expire_brittle(at_fleet_t *fleet, uint64_t now_us);

/* What is known of the servers of one service. */
typedef struct at_brittle_report {
	at_tag_t service;
	int is_brittle; /* 0: they were, recently */
	uint64_t received_us;
	at_tag_t rejected[AT_BRITTLE_REJECTED_MAX]; /* servers, recently */
	size_t rejected_count;
} at_brittle_report_t;
/* at_fleet_fill_brittle() returns the number of entries. */
size_t at_fleet_fill_brittle(const at_fleet_t *fleet,
    at_brittle_report_t entries[AT_BRITTLE_SERVICES_MAX], uint64_t now_us);

/* What is known of one server's limit. */
typedef struct at_limit_report {
	at_tag_t server;
	uint32_t rate_milli; /* 0: it has named one, and names none any more */
	uint64_t received_us;
} at_limit_report_t;
/*
 * at_fleet_fill_limits() writes the limits that are in force or have ended
 * recently, at most max, and returns their number.
 */
size_t at_fleet_fill_limits(const at_fleet_t *fleet, at_limit_report_t *entries,
    size_t max, uint64_t now_us);

/*
 * Data centres. at_fleet_set_evacuated() sets whether the servers of one are
 * sent no requests and no orders, also those that are listed later; requests
 * that run there end normally. at_fleet_set_region() sets the region of one; at
 * most AT_FLEET_DATA_CENTRES_MAX are known. Both return 0, or -1 if there are
 * more. at_fleet_region() returns the region of a data centre, or 0 if unknown.
 * at_fleet_has_regions() returns non-zero if any was set.
 * at_fleet_set_regions() sets those in a text "DATA-CENTRE:REGION,..."; one
 * without a name stays unknown. Returns -1 if the text is something else.
 */
#define AT_FLEET_DATA_CENTRES_MAX 64u
int at_fleet_set_evacuated(
    at_fleet_t *fleet, at_tag_t data_centre, int is_evacuated);
int at_fleet_set_region(
    at_fleet_t *fleet, at_tag_t data_centre, at_tag_t region);
int at_fleet_set_regions(at_fleet_t *fleet, const char *text);
at_tag_t at_fleet_region(const at_fleet_t *fleet, at_tag_t data_centre);
int at_fleet_has_regions(const at_fleet_t *fleet);
int at_server_is_evacuated(const at_server_t *server);
/* at_work_allows_region() returns non-zero if a request may run in a region. */
int at_work_allows_region(const at_work_t *work, at_tag_t region);

/*
 * Cold engines. For some time after a start, and whenever it states so, an
 * engine takes few requests a second, cold_milli of its service, and crashes at
 * a rate well above that. at_fleet_set_cold_bound() states that all instances
 * together may send it cold_milli x overage + tolerance requests in any one
 * second; AT_COLD_NO_BOUND or more: cold engines are not limited.
 *
 * An entry of the list states the cold time, or else a start that is new to
 * this instance does; at_server_note_cold() takes what an answer states, with
 * stated_us when the answer came, and when its request was sent if it states 0.
 * The newest of these applies, but an entry does not shorten what an answer has
 * stated, as it may be older. It returns non-zero if the engine has become cold
 * or is no longer. An engine that cannot be reached, and with
 * at_fleet_note_maybe_cold() each one of a data centre, is assumed to be cold
 * as after a start, until an entry of a later heartbeat states otherwise, or
 * until at_fleet_forget_failures().
 *
 * at_server_share_cold() sets this instance's part of the rate, from the roster
 * and the data centre of the instance, and 0 if it is not sending; call it in
 * each round of reports, as the part ends when it is not renewed.
 * at_server_take_relayed() returns non-zero if an
 * attempt of another instance may be passed on to the server now, and counts
 * it: that instance may not know that the engine is cold.
 *
 * at_fleet_fill_cold() writes what answers have stated of cold engines, at most
 * max, and returns the number; at_fleet_apply_cold() takes the same from
 * another instance and returns as at_server_note_cold().
 */
typedef enum at_cold_source {
	AT_COLD_NONE,
	AT_COLD_START,
	AT_COLD_ASSUMED,
	AT_COLD_ENTRY,
	AT_COLD_ANSWER,
	AT_COLD_UNREACHABLE,
	AT_COLD_SOURCE_COUNT
} at_cold_source_t;

/* Names of sources, indexed by at_cold_source_t. */
extern const char *const at_cold_source_names[];

typedef struct at_cold_report {
	at_tag_t server;
	uint64_t started_ms;   /* of the incarnation */
	uint32_t remaining_ms; /* from now on */
	uint64_t stated_us;    /* when the answer came */
} at_cold_report_t;

#define AT_COLD_NO_BOUND 1e9
#define AT_COLD_REPORTS_MAX 256u /* servers in one report */
void at_fleet_set_cold_bound(
    at_fleet_t *fleet, double overage, double tolerance);
int at_server_note_cold(at_server_t *server, uint32_t remaining_ms,
    uint64_t stated_us, uint64_t now_us);
void at_fleet_note_maybe_cold(
    at_fleet_t *fleet, at_tag_t data_centre, uint64_t now_us);
void at_server_share_cold(at_server_t *server, const at_roster_t *roster,
    at_tag_t own, int is_sending, uint64_t now_us);
int at_server_take_relayed(at_server_t *server, uint64_t now_us);
/* at_server_is_cold() returns non-zero if the engine is cold and limited. */
int at_server_is_cold(at_server_t *server, uint64_t now_us);
/* The rest describes a server for which at_server_is_cold() was last called. */
uint32_t at_server_cold_ms(const at_server_t *server, uint64_t now_us);
at_cold_source_t at_server_cold_source(const at_server_t *server);
uint32_t at_server_cold_share_milli(const at_server_t *server);
/* at_server_mark_cold() keeps whether it was cold; returns what was kept. */
int at_server_mark_cold(at_server_t *server, int is_cold);
uint32_t at_fleet_count_cold(at_fleet_t *fleet, uint64_t now_us);
size_t at_fleet_fill_cold(const at_fleet_t *fleet, at_cold_report_t *entries,
    size_t max, uint64_t now_us);
int at_fleet_apply_cold(
    at_fleet_t *fleet, const at_cold_report_t *report, uint64_t now_us);

/*
 * at_server_is_available() returns non-zero unless the server is in a backoff
 * after failures, or its data centre is evacuated.
 */
int at_server_is_available(const at_server_t *server, uint64_t now_us);

/*
 * Servers of a version with a model that are held for requests which go on with
 * streams of that version: other requests, unless they are more urgent than
 * these, are not sent there. at_fleet_set_holds() replaces the list, of which
 * the first AT_HOLDS_MAX count.
 */
#define AT_HOLDS_MAX 32u
typedef struct at_hold {
	at_tag_t software;
	at_tag_t model; /* 0: of a service without models */
	uint32_t priority;
} at_hold_t;
void at_fleet_set_holds(
    at_fleet_t *fleet, const at_hold_t *holds, size_t count);

/*
 * at_fleet_choose() chooses a server for a request and fills choice. It
 * changes nothing but the state that breaks ties.
 */
at_choice_result_t at_fleet_choose(at_fleet_t *fleet, const at_work_t *work,
    uint64_t now_us, at_choice_t *choice);

/*
 * Progress of a request. at_server_note_sent() counts it and keeps the
 * server valid until at_fleet_note_ended(). at_server_note_first_event()
 * gives the observed time to its first event, or to the complete response of
 * a plain service.
 */
void at_server_note_sent(
    at_server_t *server, const at_work_t *work, uint64_t now_us);
void at_server_note_first_event(at_server_t *server, const at_work_t *work,
    uint64_t predicted_us, uint64_t observed_us);
void at_fleet_note_ended(at_fleet_t *fleet, at_server_t *server,
    const at_work_t *work, int had_first_event, at_server_outcome_t outcome,
    uint64_t now_us);

/*
 * Observations for service_times.h. at_server_note_prompt() takes the time to
 * the first event, before at_server_note_first_event(). at_server_note_events()
 * takes what at_event_gaps_add() has returned. at_server_note_completed() takes
 * a successful request that took run_us: since its first event for a stream, of
 * which events have arrived, and since it was sent for a plain service.
 */
void at_server_note_prompt(at_server_t *server, const at_work_t *work,
    uint64_t observed_us, uint64_t now_us);
void at_server_note_events(at_server_t *server, const at_work_t *work,
    uint32_t count, uint32_t usual_us, uint64_t now_us);
void at_server_note_completed(at_server_t *server, const at_work_t *work,
    uint32_t events, uint64_t run_us, uint64_t now_us);

/*
 * at_server_note_speed() returns non-zero if a server has become slow since
 * the last call, or is so no more, and writes its lasting factor;
 * at_server_is_slow() returns which. at_fleet_slow() counts the slow servers.
 */
int at_server_note_speed(
    at_server_t *server, uint64_t now_us, uint32_t *factor_milli);
int at_server_is_slow(const at_server_t *server);
/* at_server_slow_milli() returns the lasting factor of a slow server, or 0. */
uint32_t at_server_slow_milli(const at_server_t *server, uint64_t now_us);
size_t at_fleet_slow(const at_fleet_t *fleet, uint64_t now_us);

/*
 * at_fleet_fill_report() writes this instance's own loads, at most max
 * entries, and returns their number.
 */
size_t at_fleet_fill_report(const at_fleet_t *fleet, at_load_report_t *entries,
    size_t max, uint64_t now_us);

/*
 * at_fleet_sum_reports() writes the loads of this instance and of those for
 * which is_member() returns non-zero, added up by server, at most max entries,
 * and returns their number.
 */
size_t at_fleet_sum_reports(at_fleet_t *fleet,
    int (*is_member)(void *ctx, at_tag_t instance), void *ctx,
    at_load_report_t *entries, size_t max, uint64_t now_us);

/* at_fleet_apply_report() replaces an instance's previous report. */
void at_fleet_apply_report(at_fleet_t *fleet, at_tag_t instance,
    const at_load_report_t *entries, size_t count, uint64_t now_us);

/*
 * at_fleet_apply_unreachable() takes the report of an instance in the same
 * data centre that connections to a server fail; what this instance has
 * observed itself takes precedence.
 */
void at_fleet_apply_unreachable(
    at_fleet_t *fleet, at_tag_t tag, uint64_t now_us);

/*
 * at_fleet_forget_failures() ends all backoffs, after failures that were those
 * of this instance.
 */
void at_fleet_forget_failures(at_fleet_t *fleet);

/*
 * at_fleet_pick_probes() draws listed servers that do not leave, from as many
 * data centres as there are, and returns their number, at most max.
 */
size_t at_fleet_pick_probes(
    at_fleet_t *fleet, const at_server_entry_t **entries, size_t max);

/*
 * at_server_accepts_relayed() returns non-zero unless the server leaves, is not
 * listed, is evacuated or wants no requests from this instance now. The
 * instance that asks this one to pass an attempt on has checked everything
 * else.
 */
int at_server_accepts_relayed(const at_server_t *server, uint64_t now_us);

/* at_fleet_expire_reports() drops reports older than max_age_us. */
void at_fleet_expire_reports(
    at_fleet_t *fleet, uint64_t now_us, uint64_t max_age_us);

#endif
