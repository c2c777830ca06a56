/*
 * standin.h - small stand-ins for what lies outside: the platform, a model
 * engine, a plain service. Each is an object on a libev loop, so that tests
 * can run several in one process. Faults are set by POST /control/faults
 * with a JSON object; a fault not named keeps its value.
 */
#ifndef ALMONDTHREAD_STANDIN_H
#define ALMONDTHREAD_STANDIN_H

#include <ev.h>
#include <jansson.h>

#include "almondthread/status.h"
#include "io/httpd.h"

/* Faults that every stand-in knows. */
typedef struct standin_faults {
	uint32_t outage;         /* non-zero: 503 to every call */
	uint32_t delay_ms;       /* before each answer */
	uint32_t lose_replies;   /* this many answers are lost after effect */
	uint32_t silent;         /* this many calls are never answered */
	uint32_t crash;          /* this many requests end the connection */
	uint32_t truncate_after; /* engine: cut a stream after n tokens */
	uint32_t break_whole;    /* engine: n whole answers break off */
	uint32_t shorten;        /* engine: n answers end early but properly */
	uint32_t crossed;        /* engine: n answers carry another id */
	uint32_t token_us;       /* engine: time between tokens */
	uint32_t refuse;         /* this many requests are refused unrun */
	uint32_t lose_orders;    /* engine: n orders vanish */
	uint32_t late_orders_ms; /* engine: orders wait, unanswered */
	uint32_t silent_old;     /* relay: open connections go silent */
} standin_faults_t;

/* standin_faults_update() reads the fields present in object. */
void standin_faults_update(standin_faults_t *faults, json_t *object);

/* standin_reply_json() answers with object, which it releases. */
void standin_reply_json(
    at_httpd_request_t *request, int status, json_t *object);

/* Each returns a field, or an empty text or the fallback. */
const char *standin_text_of(json_t *object, const char *field);
uint64_t standin_number_of(
    json_t *object, const char *field, uint64_t fallback);

typedef struct standin_platform standin_platform_t;
standin_platform_t *standin_platform_new(struct ev_loop *loop);
at_code_t standin_platform_init(
    standin_platform_t *platform, const char *address, at_status_t *status);
uint16_t standin_platform_port(const standin_platform_t *platform);
void standin_platform_delete(standin_platform_t *platform);

/* A body that holds this text crashes each engine that runs it. */
#define STANDIN_POISON "crash-the-engine"

typedef struct standin_engine standin_engine_t;
standin_engine_t *standin_engine_new(struct ev_loop *loop);
void standin_engine_set_name(standin_engine_t *engine, const char *name);
void standin_engine_set_memory_mb(standin_engine_t *engine, uint64_t mb);
void standin_engine_set_fencing(standin_engine_t *engine, int heeds);
/* standin_engine_set_load_ms() sets what a load or an unload takes. */
void standin_engine_set_load_ms(standin_engine_t *engine, uint32_t ms);
void standin_engine_set_token_us(standin_engine_t *engine, uint32_t us);
/* standin_engine_add_model() makes a model resident before the start. */
void standin_engine_add_model(standin_engine_t *engine, const char *model);
at_code_t standin_engine_init(
    standin_engine_t *engine, const char *address, at_status_t *status);
/* standin_engine_executions() counts what it truly began to run. */
uint64_t standin_engine_executions(const standin_engine_t *engine);
uint16_t standin_engine_port(const standin_engine_t *engine);
void standin_engine_delete(standin_engine_t *engine);

typedef struct standin_service standin_service_t;
standin_service_t *standin_service_new(struct ev_loop *loop);
at_code_t standin_service_init(
    standin_service_t *service, const char *address, at_status_t *status);
uint16_t standin_service_port(const standin_service_t *service);
void standin_service_delete(standin_service_t *service);

/*
 * A TCP relay between two parties. Faults: outage closes what is open and
 * what comes; silent holds every byte back and keeps the connections;
 * silent_old does so for connections that are open now, for good, while new
 * ones work; delay_ms holds each byte back for a time.
 */
typedef struct standin_relay standin_relay_t;
standin_relay_t *standin_relay_new(struct ev_loop *loop);
/* control is the address that takes POST /control/faults. */
at_code_t standin_relay_init(standin_relay_t *relay, const char *listen,
    const char *target, const char *control, at_status_t *status);
uint16_t standin_relay_port(const standin_relay_t *relay);
uint16_t standin_relay_control_port(const standin_relay_t *relay);
void standin_relay_delete(standin_relay_t *relay);

#endif
