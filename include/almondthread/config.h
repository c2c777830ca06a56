/*
 * config.h - the fleet's configuration: one JSON document, which is
 * validated as a whole.
 *
 * The document has fleet-wide defaults and a short list of exceptions, each
 * with its reason. Its generation only increases. A parsed at_config_t is
 * immutable; a new document gives a new object. All arrays belong to the
 * object and are freed with it.
 */
#ifndef ALMONDTHREAD_CONFIG_H
#define ALMONDTHREAD_CONFIG_H

#include "almondthread/name_index.h"
#include "almondthread/status.h"
#include "almondthread/units.h"

#define AT_KEY_HASH_SIZE 32u /* bytes of a key's keyed hash */
#define AT_CONFIG_OBJECT "config/current"

/* How often a request of a route may run. */
typedef enum at_repeat {
	AT_REPEAT_ANY,        /* any number of times */
	AT_REPEAT_IDEMPOTENT, /* further runs have no further effect */
	AT_REPEAT_ONCE,       /* at most once */
	AT_REPEAT_COUNT
} at_repeat_t;

extern const char *const at_repeat_names[];

/* Class of work: overnight work yields to interactive work. */
typedef enum at_priority {
	AT_PRIORITY_INTERACTIVE,
	AT_PRIORITY_OVERNIGHT,
	AT_PRIORITY_COUNT
} at_priority_t;

extern const char *const at_priority_names[];

/* What a data centre does with keys that it cannot refresh while cut off. */
typedef enum at_cut_off_keys {
	AT_CUT_OFF_SERVE,  /* accept the keys last received */
	AT_CUT_OFF_REFUSE, /* refuse them when older than key_staleness_ms */
	AT_CUT_OFF_COUNT
} at_cut_off_keys_t;

extern const char *const at_cut_off_keys_names[];

/* Fleet-wide defaults. */
typedef struct at_defaults {
	uint32_t first_byte_ms;  /* longest time to the first byte */
	uint32_t idle_ms;        /* longest gap within a response */
	uint32_t deadline_ms;    /* whole request, interactive */
	uint32_t connect_ms;     /* longest time to connect */
	uint32_t max_body_bytes; /* of a caller's request */
	uint32_t max_tokens;     /* of a response, if the caller states none */
	uint32_t min_replicas;   /* of each model in each data centre */
	uint32_t key_staleness_ms;  /* largest age with AT_CUT_OFF_REFUSE */
	uint32_t claim_retention_s; /* how long claims are kept */
	at_cut_off_keys_t cut_off_keys;
	uint32_t loads_per_1000_s;   /* model loads, over all data centres */
	uint32_t loads_in_flight;    /* model loads, over all data centres */
	uint32_t adapters_in_flight; /* adapter loads, over all data centres */
	uint32_t order_lifetime_ms;  /* longest time until it is executed */
	uint32_t engine_tokens_s;    /* of one accelerator, at full load */
	/* Time unlisted until an instance counts as ended. */
	uint32_t instance_gone_ms;
} at_defaults_t;

/* A caller's key: its public id and the keyed hash of the whole key. */
typedef struct at_key {
	at_name_t id;
	uint8_t hash[AT_KEY_HASH_SIZE];
} at_key_t;

typedef struct at_workspace {
	at_name_t name;
	uint64_t rate_tokens_s; /* tokens per second, fleet-wide */
	uint64_t burst_tokens;
	at_key_t *keys;
	size_t key_count;
} at_workspace_t;

typedef struct at_model {
	at_name_t name;
	uint32_t version;
	uint64_t memory_mb;
} at_model_t;

typedef struct at_adapter {
	at_name_t name;
	at_name_t model; /* the base model */
	uint32_t version;
	uint64_t memory_mb;
	at_name_t workspace; /* empty: open to every workspace */
} at_adapter_t;

/* An engine as declared by operators; the platform gives its address. */
typedef struct at_engine {
	at_name_t name;
	at_name_t data_centre;
	uint32_t accelerators;
	uint64_t memory_mb; /* of all its accelerators, for weights */
	int heeds_fencing;  /* it refuses outdated fencing tokens */
} at_engine_t;

typedef struct at_service {
	at_name_t name;
	int checks_orders; /* it verifies who sends an order */
} at_service_t;

typedef struct at_route {
	char path[128]; /* a prefix when it ends in '/' */
	char method[8];
	at_name_t service;
	at_repeat_t repeat;
	at_priority_t priority;
	uint32_t deadline_ms; /* 0: the default */
	uint32_t cost_tokens; /* debited for each request */
	int is_public;        /* needs no key */
} at_route_t;

/* What an exception changes. */
typedef enum at_exception_kind {
	AT_EXCEPTION_PIN,          /* keep the subject model on the engine */
	AT_EXCEPTION_FORBID,       /* never load the subject model there */
	AT_EXCEPTION_MIN_REPLICAS, /* at least value replicas of the subject */
	AT_EXCEPTION_FIRST_BYTE_MS,
	AT_EXCEPTION_DEADLINE_MS,
	AT_EXCEPTION_MAX_TOKENS,
	AT_EXCEPTION_KIND_COUNT
} at_exception_kind_t;

extern const char *const at_exception_kind_names[];

/* A deviation from the defaults, with the operators' reason. */
typedef struct at_exception {
	at_exception_kind_t kind;
	at_name_t subject; /* model, adapter or service */
	at_name_t engine;  /* of PIN and FORBID */
	uint64_t value;
	char reason[128];
} at_exception_t;

/* Hash table slot of a key and its workspace; key NULL: free. */
typedef struct at_key_slot {
	const at_key_t *key;
	const at_workspace_t *workspace;
} at_key_slot_t;

typedef struct at_config {
	uint64_t generation;
	at_defaults_t defaults;
	at_name_t *data_centres;
	size_t data_centre_count;
	at_workspace_t *workspaces;
	size_t workspace_count;
	at_model_t *models;
	size_t model_count;
	at_adapter_t *adapters;
	size_t adapter_count;
	at_engine_t *engines;
	size_t engine_count;
	at_service_t *services;
	size_t service_count;
	at_route_t *routes;
	size_t route_count;
	at_exception_t *exceptions;
	size_t exception_count;
	at_name_index_t data_centre_index;
	at_name_index_t workspace_index;
	at_name_index_t model_index;
	at_name_index_t adapter_index;
	at_name_index_t engine_index;
	at_name_index_t service_index;
	at_key_slot_t *key_slots;
	size_t key_mask;
} at_config_t;

/*
 * at_config_parse() reads and validates a document of len bytes.
 * Returns a new configuration, which the caller deletes, or NULL with
 * AT_INVALID in status. The message names the path of the first invalid
 * field and what was expected there, as in
 * "models[2].memory_mb: expected a number from 1 to 100000000".
 */
at_config_t *at_config_parse(const char *text, size_t len, at_status_t *status);
void at_config_delete(at_config_t *config);

/*
 * at_config_index_keys() builds the hash table that at_key_find() uses;
 * at_config_parse() calls it. Returns 0, or -1 if out of memory.
 */
int at_config_index_keys(at_config_t *config);

/* Look-ups return NULL when there is no such entry. */
const at_workspace_t *at_config_find_workspace(
    const at_config_t *config, const char *name);
const at_model_t *at_config_find_model(
    const at_config_t *config, const char *name);
const at_adapter_t *at_config_find_adapter(
    const at_config_t *config, const char *name);
const at_engine_t *at_config_find_engine(
    const at_config_t *config, const char *name);
const at_service_t *at_config_find_service(
    const at_config_t *config, const char *name);

/*
 * at_config_find_route() returns the route with the longest matching path
 * and the same method, or NULL. *wrong_method is set when only the method
 * differs.
 */
const at_route_t *at_config_find_route(const at_config_t *config,
    const char *path, const char *method, int *wrong_method);

/*
 * at_config_exception_value() returns the value of the exception of one kind
 * for a subject, or fallback when there is none.
 */
uint64_t at_config_exception_value(const at_config_t *config,
    at_exception_kind_t kind, const char *subject, uint64_t fallback);

#endif
