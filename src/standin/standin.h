/*
 * standin.h - stand-ins for the systems that an entry instance talks to: the
 * platform, a model engine, a service, and a relay that disturbs
 * connections. For tests, benchmarks and the demo: requests are not
 * authenticated, and failed allocations are not handled.
 *
 * Each stand-in is an object on a libev loop, so that a test can run several
 * in one process. For each of them, _new() creates an object, _init() starts
 * to listen on an address "IP:PORT" (port 0: any free port) and returns AT_OK
 * or an error, _port() returns the port that it listens on, and _delete()
 * closes its connections and releases it.
 *
 * Faults are set by POST /control/faults with a JSON object whose fields are
 * those of standin_faults_t. A fault that the object lacks keeps its value.
 */
#ifndef ALMONDTHREAD_STANDIN_H
#define ALMONDTHREAD_STANDIN_H

#include <ev.h>
#include <jansson.h>

#include "almondthread/status.h"
#include "io/httpd.h"

/*
 * Faults of a stand-in; zero is no fault. A count is the number of requests
 * or responses still to be affected and goes down by one with each of them.
 * The names of the fields are also those of the JSON object. Each stand-in
 * has the faults that apply to it and ignores the others; for those of the
 * relay, see below.
 */
typedef struct standin_faults {
	uint32_t outage;         /* respond 503 to all requests */
	uint32_t delay_ms;       /* platform, service: delay of a response */
	uint32_t lose_replies;   /* count: executed, but not responded to */
	uint32_t silent;         /* count: connection kept, no response */
	uint32_t crash;          /* count: connection closed while running */
	uint32_t truncate_after; /* cut after n tokens (server: n events) */
	uint32_t reject_resumed; /* server, count: 400 to a resumption */
	uint32_t resumed_status; /* server: of all resumptions, with a text */
	int resumed_unstamped;   /* server: these have no signature */
	int resumed_empty;       /* server: these are JSON, and empty */
	/* Server: status of all responses to requests that it has run. */
	uint32_t failure_status;
	/* Server: responses claim to be a refusal of a relaying instance. */
	int claims_relay_refusal;
	uint32_t pause_after; /* server: silent once after n events */
	uint32_t pause_ms;    /* server: length of that silence */
	/* Server: crashes where it begins to answer a prompt with this part. */
	uint32_t crash_part;
	uint32_t pause_reply_ms; /* server: Retry-After of its refusals */
	int refuse_unstated;     /* refusals do not state that nothing ran */
	/* Count: runs the request, and writes an earlier one's refusal. */
	uint32_t repeat_refusal;
	int refuse_without_id; /* refusals do not name the request */
	uint32_t leaving;      /* server: it states that it leaves */
	uint32_t limit_milli;  /* server: named limit, requests in 1,000 s */
	uint32_t work_ms;      /* server, plain: time of each request */
	uint32_t room;         /* server: open requests; 0: no bound */
	/* Server: it states this, and crashes after more rejections in 1 s. */
	uint32_t brittle;
	/* Server: it crashes after more requests in 1 s while it is cold. */
	uint32_t cold_max;
	uint32_t break_whole;    /* engine, count: cut buffered responses */
	uint32_t shorten;        /* engine, count: valid end, bytes missing */
	uint32_t crossed;        /* engine, server, count: wrong request ID */
	uint32_t token_us;       /* engine: time between tokens */
	uint32_t refuse;         /* count: 503 with X-Not-Run, not executed */
	uint32_t lose_orders;    /* engine, count: order not carried out */
	uint32_t late_orders_ms; /* engine: delay of orders; no response */
	uint32_t silent_old;     /* relay: block open connections */
} standin_faults_t;

/*
 * standin_faults_update() sets the faults that object has as integers. object
 * may be NULL and is not released.
 */
void standin_faults_update(standin_faults_t *faults, json_t *object);

/* standin_reply_json() responds with status and object, which it releases. */
void standin_reply_json(
    at_httpd_request_t *request, int status, json_t *object);

/*
 * standin_json_text() returns a text field, or "" without one. The text
 * belongs to object. standin_json_number() returns an integer field, or
 * fallback without one. object may be NULL.
 */
const char *standin_json_text(json_t *object, const char *field);
uint64_t standin_json_number(
    json_t *object, const char *field, uint64_t fallback);

/*
 * The platform: versioned objects, a watch on them and the instance list, as
 * src/io uses them, all in memory. delay_ms delays all calls but watches.
 */
typedef struct standin_platform standin_platform_t;
standin_platform_t *standin_platform_new(struct ev_loop *loop);
at_code_t standin_platform_init(
    standin_platform_t *platform, const char *address, at_status_t *status);
uint16_t standin_platform_port(const standin_platform_t *platform);
void standin_platform_delete(standin_platform_t *platform);

/* A request whose body contains this text crashes each engine that runs it. */
#define STANDIN_CRASH_TEXT "crash-the-engine"

/*
 * A model engine: completions with generated tokens, and orders to load and
 * unload models and adapters.
 */
typedef struct standin_engine standin_engine_t;
standin_engine_t *standin_engine_new(struct ev_loop *loop);
void standin_engine_set_name(standin_engine_t *engine, const char *name);
void standin_engine_set_memory_mb(standin_engine_t *engine, uint64_t mb);
/*
 * standin_engine_set_fencing() makes it refuse orders whose fencing token is
 * lower than the highest one seen.
 */
void standin_engine_set_fencing(standin_engine_t *engine, int heeds_fencing);
/* standin_engine_set_load_ms() sets the duration of a load or an unload. */
void standin_engine_set_load_ms(standin_engine_t *engine, uint32_t ms);
/* standin_engine_set_token_us() sets the time between two tokens. */
void standin_engine_set_token_us(standin_engine_t *engine, uint32_t us);
/* standin_engine_add_model() adds a model that is resident at the start. */
void standin_engine_add_model(standin_engine_t *engine, const char *model);
at_code_t standin_engine_init(
    standin_engine_t *engine, const char *address, at_status_t *status);
/*
 * standin_engine_execution_count() returns the number of requests that it
 * began to run, also of those that a fault ended.
 */
uint64_t standin_engine_execution_count(const standin_engine_t *engine);
uint16_t standin_engine_port(const standin_engine_t *engine);
void standin_engine_delete(standin_engine_t *engine);

/* Largest body that stand-ins of backend servers accept. */
#define STANDIN_BODY_MAX_BYTES (64u << 20)

/* A service: executes every request and records it for GET /control/log. */
typedef struct standin_service standin_service_t;
standin_service_t *standin_service_new(struct ev_loop *loop);
at_code_t standin_service_init(
    standin_service_t *service, const char *address, at_status_t *status);
uint16_t standin_service_port(const standin_service_t *service);
void standin_service_delete(standin_service_t *service);

/*
 * A TCP relay between a client and a target. Faults: outage closes all
 * connections, also new ones; silent forwards nothing and keeps the
 * connections; silent_old does so for the rest of the life of the
 * connections that are open now, while new ones work; delay_ms delays each
 * byte.
 */
typedef struct standin_relay standin_relay_t;
standin_relay_t *standin_relay_new(struct ev_loop *loop);
/*
 * standin_relay_init() forwards connections from listen to target. control is
 * the address for POST /control/faults.
 */
at_code_t standin_relay_init(standin_relay_t *relay, const char *listen,
    const char *target, const char *control, at_status_t *status);
uint16_t standin_relay_port(const standin_relay_t *relay);
uint16_t standin_relay_control_port(const standin_relay_t *relay);
void standin_relay_delete(standin_relay_t *relay);

#endif
