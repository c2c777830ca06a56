/*
 * site.h - the configuration of a deployment: routes from paths to services,
 * the callers' workspaces and keys, and the capacity of each service's
 * backend servers.
 *
 * A site is created empty, filled once by the decoder of the configuration,
 * sealed, and immutable from then on. It is reference-counted: a request
 * keeps the site that it was admitted under until it ends. Sites share the
 * routes and services that do not differ between them.
 */
#ifndef ALMONDTHREAD_SITE_H
#define ALMONDTHREAD_SITE_H

#include "almondthread/keyring.h"
#include "almondthread/units.h"

#define AT_SITE_TARGETS_MAX 8u  /* services that one route is split over */
#define AT_SITE_TEXT_SIZE 256u  /* host or path prefix, with the NUL */
#define AT_SITE_ATTEMPTS_MAX 4u /* backend servers tried for one request */

/* 64-bit hash of a name, used to refer to it between modules and instances. */
typedef uint64_t at_tag_t;

/* at_tag_from_text() returns the tag of a text; "" has tag 0, for none. */
at_tag_t at_tag_from_text(const char *text);

/* Regions of one list of allowed ones; a longer list is an error. */
#define AT_SITE_REGIONS_MAX 16u

/* Regions whose backend servers may be sent a request. */
typedef struct at_site_regions {
	at_tag_t tags[AT_SITE_REGIONS_MAX];
	size_t count; /* 0: any region */
} at_site_regions_t;

/* Kind of a route's requests, which decides how often they may run. */
typedef enum at_route_type {
	AT_ROUTE_SAFE,   /* any number of times */
	AT_ROUTE_UNSAFE, /* at most once */
	AT_ROUTE_STREAM, /* at most once, unless it may be resumed */
	AT_ROUTE_TYPE_COUNT
} at_route_type_t;

extern const char *const at_route_type_names[];

/* A service that receives a part of a route's requests. */
typedef struct at_site_target {
	at_tag_t service;
	uint32_t weight; /* relative to the route's other targets */
} at_site_target_t;

typedef struct at_site_route {
	uint32_t references; /* of sites */
	uint64_t text_hash;  /* of what it was decoded from; 0: unknown */
	at_name_t name;
	char host[AT_SITE_TEXT_SIZE];
	char prefix[AT_SITE_TEXT_SIZE]; /* begins and ends with '/' */
	at_route_type_t type;
	uint32_t timeout_ms;   /* longest time to the end of the response */
	uint32_t objective_ms; /* to the response, or a stream's first event */
	uint32_t event_gap_ms; /* longest gap in an on-time stream */
	uint32_t priority;     /* 0 is the most urgent */
	uint32_t attempts_max; /* backend servers tried for one request */
	at_site_target_t targets[AT_SITE_TARGETS_MAX];
	size_t target_count;
	int is_public;    /* needs no key */
	int is_resumable; /* a stream may continue at another server */
	at_site_regions_t allowed_regions;
} at_site_route_t;

typedef struct at_site_adapter {
	at_name_t name;
	at_tag_t tag; /* of "model/adapter" */
} at_site_adapter_t;

typedef struct at_site_model {
	at_name_t name;
	at_tag_t tag;
	uint64_t weights_mb;
	uint64_t adapter_mb;
	at_site_adapter_t *adapters;
	size_t adapter_count;
	uint32_t store_load_ms;  /* from the weight store */
	uint32_t disk_load_ms;   /* from the backend server's own disk */
	uint32_t memory_load_ms; /* from its own memory */
} at_site_model_t;

typedef struct at_site_service {
	uint32_t references; /* of sites */
	uint64_t text_hash;  /* of what it was decoded from; 0: unknown */
	at_name_t name;
	at_tag_t tag;
	uint32_t connections_max; /* to one backend server, for all callers */
	/* After a start it takes only so many requests, in 1,000 s; 0: any. */
	uint32_t cold_start_ms;
	uint32_t cold_milli;
	int has_models; /* its backend servers are model engines */
	/* Of one model engine: */
	uint32_t slots;            /* requests in one batch */
	uint64_t kv_tokens;        /* capacity of the key-value cache */
	uint64_t weights_mb;       /* memory for models and adapters */
	uint32_t adapter_slots;    /* adapters resident at once */
	uint32_t loads_per_1000_s; /* of the weight store, for all engines */
	at_site_model_t *models;
	size_t model_count;
} at_site_service_t;

typedef struct at_site_workspace {
	at_name_t name;
	at_tag_t tag;
	uint64_t rate_per_s;    /* in the unit; 0: no limit */
	uint64_t burst;         /* in the unit */
	uint32_t default_units; /* for a request that states no tokens */
	int counts_tokens;      /* the unit is a token, else a request */
	int has_priority;       /* its priority overrides the route's */
	uint32_t priority;
	at_site_regions_t allowed_regions;
} at_site_workspace_t;

/* The keyed hash of a caller's key and its workspace. */
typedef struct at_site_key {
	uint8_t hash[AT_KEY_HASH_SIZE];
	uint32_t workspace; /* index in the site's workspaces */
} at_site_key_t;

/* Limits on what a caller may send. */
typedef struct at_site_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_ms; /* longest time to send a header */
	uint32_t idle_ms;   /* longest idle time of a connection */
} at_site_limits_t;

typedef struct at_site {
	uint32_t references;
	at_fleet_secret_t secret; /* keys are hashed under it */
	uint64_t version;
	at_site_limits_t limits;
	at_site_route_t **routes;
	size_t route_count;
	at_site_route_t **route_table; /* by host and prefix, once sealed */
	size_t route_mask;             /* places in the table, less one */
	at_site_service_t **services;
	size_t service_count;
	/* The configuration lists workspaces, if only an empty list. */
	int has_workspaces;
	at_site_workspace_t *workspaces;
	size_t workspace_count;
	at_site_key_t *keys; /* sorted once sealed */
	size_t key_count;
} at_site_t;

/*
 * at_site_new() returns an empty site with one reference, or NULL if out of
 * memory. Keys are stored as hashes under the secret, which is copied.
 */
at_site_t *at_site_new(const at_fleet_secret_t *secret);
at_site_t *at_site_ref(at_site_t *site);
/* at_site_unref() frees the site with its last reference; NULL is allowed. */
void at_site_unref(at_site_t *site);

/*
 * Each adds a zeroed entry and returns it, or NULL if out of memory. The entry
 * is freed with the last site that has it.
 */
at_site_route_t *at_site_add_route(at_site_t *site);
at_site_service_t *at_site_add_service(at_site_t *site);
at_site_workspace_t *at_site_add_workspace(at_site_t *site);
at_site_model_t *at_site_add_model(at_site_service_t *service);
at_site_adapter_t *at_site_add_adapter(at_site_model_t *model);
/*
 * Both add an entry that another site has, too. Return 0, or -1 if out of
 * memory.
 */
int at_site_share_route(at_site_t *site, at_site_route_t *route);
int at_site_share_service(at_site_t *site, at_site_service_t *service);
/*
 * at_site_add_key() adds a workspace's key. Returns 0, or -1 if out of memory.
 */
int at_site_add_key(at_site_t *site, const char *key, uint32_t workspace);

/*
 * at_site_seal() builds what look-ups search. Returns 0, or -1 if out of
 * memory.
 */
int at_site_seal(at_site_t *site);

/*
 * at_site_find_route() returns the route of a host with the longest prefix of
 * the path, or NULL; of two with the same host and prefix, the one that was
 * added first. A port after the host is ignored. It takes time in proportion
 * to the path's length, whatever the number of routes.
 */
const at_site_route_t *at_site_find_route(
    const at_site_t *site, const char *host, const char *path);

/* at_site_find_workspace() returns the workspace of a key, or NULL. */
const at_site_workspace_t *at_site_find_workspace(
    const at_site_t *site, const char *key);

/* at_site_allows_region() returns non-zero if a region is among them. */
int at_site_allows_region(const at_site_regions_t *regions, at_tag_t region);

const at_site_service_t *at_site_find_service(
    const at_site_t *site, at_tag_t tag);
const at_site_model_t *at_site_find_model(
    const at_site_service_t *service, at_tag_t tag);

/*
 * at_site_pick_target() selects one of a route's services by weight; draw is
 * a uniform random number. Returns 0 when the route has none.
 */
at_tag_t at_site_pick_target(const at_site_route_t *route, uint64_t draw);

#endif
