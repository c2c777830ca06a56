/*
 * ports.h - interfaces of the core to the outside: clocks, random numbers,
 * the platform's object API and instance list, and orders to model engines.
 *
 * A port is a table of functions with a pointer that is passed to each of
 * them. The core never blocks: a port call returns at once and completes
 * later through a callback on the same thread, exactly once.
 */
#ifndef ALMONDTHREAD_PORTS_H
#define ALMONDTHREAD_PORTS_H

#include "almondthread/units.h"

/* Monotonic time in milliseconds. */
typedef struct at_clock {
	uint64_t (*now_ms)(void *impl);
	void *impl;
} at_clock_t;

/* Uniform 64-bit numbers. Tests pass a seeded at_rng_t. */
typedef struct at_random {
	uint64_t (*next)(void *impl);
	void *impl;
} at_random_t;

/* A seeded generator (splitmix64); not for secrets. */
typedef struct at_rng {
	uint64_t state;
} at_rng_t;

uint64_t at_rng_next(at_rng_t *rng);
/* at_rng_below() returns a number in [0, bound); bound must not be 0. */
uint64_t at_rng_below(at_rng_t *rng, uint64_t bound);
/* at_rng_port() returns a port that uses rng, which must outlive it. */
at_random_t at_rng_port(at_rng_t *rng);

/* How a call to the object API ended. */
typedef enum at_store_code {
	AT_STORE_OK,
	AT_STORE_NOT_FOUND,
	AT_STORE_CONFLICT, /* the version was not the expected one */
	AT_STORE_NOT_SENT, /* proved that the call had no effect */
	AT_STORE_UNKNOWN,  /* no response: it may have taken effect */
	AT_STORE_CODE_COUNT
} at_store_code_t;

extern const char *const at_store_code_names[];

/*
 * The result of one call. value is valid only during the callback and is not
 * NUL-terminated. version is 0 when the object does not exist.
 */
typedef struct at_store_result {
	at_store_code_t code;
	uint64_t version;
	const char *value;
	size_t value_len; /* bytes, at most AT_VALUE_MAX_BYTES */
} at_store_result_t;

typedef void (*at_store_done_t)(void *ctx, const at_store_result_t *result);

/* One change reported by a watch; a deleted object has version 0. */
typedef struct at_store_event {
	const char *name;
	uint64_t version;
	const char *value;
	size_t value_len;
} at_store_event_t;

/*
 * Called for each change under the prefix and, with event NULL, for each
 * bookmark, which proves that the watch still works.
 */
typedef void (*at_store_watch_t)(void *ctx, const at_store_event_t *event);

/*
 * The platform's object API. Versions of an object only increase. put() with
 * expect_version 0 creates the object; otherwise it replaces exactly that
 * version. watch() continues until the port is deleted, reconnects by itself
 * and first reports the existing objects. Arguments are copied before the
 * call returns.
 */
typedef struct at_store {
	void (*get)(
	    void *impl, const char *name, at_store_done_t done, void *ctx);
	void (*put)(void *impl, const char *name, uint64_t expect_version,
	    const void *value, size_t value_len, at_store_done_t done,
	    void *ctx);
	void (*del)(void *impl, const char *name, uint64_t expect_version,
	    at_store_done_t done, void *ctx);
	void (*watch)(void *impl, const char *prefix, at_store_watch_t on_event,
	    void *ctx);
	void *impl;
} at_store_t;

/* Kind of an entry in the instance list. */
typedef enum at_instance_kind {
	AT_INSTANCE_ENTRY,
	AT_INSTANCE_ENGINE,
	AT_INSTANCE_SERVICE,
	AT_INSTANCE_KIND_COUNT
} at_instance_kind_t;

extern const char *const at_instance_kind_names[];

/* One entry of the platform's instance list. */
typedef struct at_instance {
	at_name_t name;
	at_name_t data_centre;
	at_name_t service; /* of AT_INSTANCE_SERVICE only */
	at_instance_kind_t kind;
	char address[AT_ADDR_SIZE];      /* callers or orders, "ip:port" */
	char peer_address[AT_ADDR_SIZE]; /* of AT_INSTANCE_ENTRY only */
	int is_leaving;
} at_instance_t;

/* Orders that a model engine executes. */
typedef enum at_order_kind {
	AT_ORDER_LOAD_MODEL,
	AT_ORDER_UNLOAD_MODEL,
	AT_ORDER_LOAD_ADAPTER,
	AT_ORDER_UNLOAD_ADAPTER,
	AT_ORDER_SET_ROLE,
	AT_ORDER_KIND_COUNT
} at_order_kind_t;

extern const char *const at_order_kind_names[];

/*
 * An order to an engine. fence is the fencing token, the version of the
 * lease object. An engine that checks fencing tokens refuses an order whose
 * token is lower than the highest it has seen. id makes a repeated delivery
 * idempotent.
 */
typedef struct at_order {
	at_order_kind_t kind;
	uint64_t id;
	uint64_t fence;
	at_name_t engine;
	at_name_t model;
	at_name_t adapter; /* empty in orders for a base model */
	uint32_t version;
	uint64_t memory_mb;
} at_order_t;

typedef enum at_order_result {
	AT_ORDER_DONE,
	AT_ORDER_REFUSED, /* by the engine; it had no effect */
	AT_ORDER_FENCED,  /* refused: it has seen a higher fencing token */
	AT_ORDER_UNKNOWN, /* no response: it may take effect at any time */
	AT_ORDER_RESULT_COUNT
} at_order_result_t;

extern const char *const at_order_result_names[];

typedef void (*at_order_done_t)(
    void *ctx, const at_order_t *order, at_order_result_t result);

/* Sends one order. The order is copied. */
typedef struct at_engine_port {
	void (*order)(void *impl, const at_order_t *order, at_order_done_t done,
	    void *ctx);
	void *impl;
} at_engine_port_t;

#endif
