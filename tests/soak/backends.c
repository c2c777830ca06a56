#include "soak/soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "platform/names.h"

#define TICK_S 0.02
#define DRAIN_S 2.0
#define LINGER_STEP_S                                          \
	0.7 /* a server that leaves serves on beyond the drain \
	     */
#define REJECT_ALL 1000000u
#define EVENTS 6u
#define EVENT_GAP_MS 30u
#define LIMIT_MIN_MILLI 300u /* requests in 1,000 s */
#define LIMIT_MORE_MILLI 4000u
#define WORK_MS 200u /* of a plain server's requests while it is brittle */
#define ROOM 18u     /* from some time later on: its slots, and two wait */
#define ROOM_AFTER_S 3.
#define BRITTLE 4u
#define PART_CRASH_MS 1500u /* until another server takes the place */
/* Servers that have left and still serve; their number is limited. */
#define LEAVING_MAX 64u

/* A listed backend server, or one that has left and still serves. */
typedef struct backend {
	soak_backends_t *backends;
	standin_server_t *server; /* NULL: crashed, or none */
	soak_service_t service;
	char id[AT_NAME_SIZE];
	uint64_t left_ms; /* acknowledged by the store; 0: it has not left */
	int is_bound;     /* the store was stable then */
	int is_unlisted;
	double end_due_s;   /* of one that has left */
	double fault_due_s; /* end of a fault; 0: none */
	double limit_due_s; /* end of a limit; 0: none */
	double start_due_s; /* of a crashed one's replacement; 0: none */
} backend_t;

struct soak_backends {
	struct ev_loop *loop;
	soak_judge_t *judge;
	standin_store_t *store;
	const soak_crash_part_t *part;
	backend_t *listed[SOAK_BACKENDS];
	backend_t *leaving[LEAVING_MAX];
	uint32_t last_id;
	uint64_t heartbeat_sequence;
	double room_due_s[SOAK_SERVICES];    /* 0: none */
	double brittle_due_s[SOAK_SERVICES]; /* its end; 0: not brittle */
	ev_timer timer;
};

static void
on_arrival(void *ctx, const at_httpd_request_t *request, int is_run)
{
	const backend_t *backend = ctx;
	const char *id = at_httpd_header(request, WIRE_REQUEST_ID);
	const char *instance = at_httpd_header(request, SOAK_INSTANCE_HEADER);
	const soak_arrival_t arrival = {.id = id == NULL ? "" : id,
	    .service = backend->service,
	    .instance = instance == NULL ? 0 : (uint32_t)atoi(instance),
	    .backend = backend->id,
	    .is_run = is_run,
	    .may_repeat = strncmp(at_httpd_path(request), "/unsafe/", 8) != 0,
	    .has_crash_part =
		at_httpd_header(request, SOAK_PART_HEADER) != NULL,
	    .limit_milli = standin_server_faults(backend->server)->limit_milli,
	    .left_ms = backend->left_ms,
	    .is_bound = backend->is_bound,
	    .workspace = at_httpd_header(request, WIRE_WORKSPACE)};

	soak_judge_arrived(backend->backends->judge, &arrival);
}

static void
list(backend_t *backend, int is_leaving)
{
	soak_backends_t *backends = backend->backends;
	int is_llm = backend->service == SOAK_LLM;
	char address[AT_ADDR_SIZE];

	(void)snprintf(address, sizeof(address), "127.0.0.1:%u",
	    standin_server_port(backend->server));
	standin_store_put(backends->store, WIRE_KIND_SERVERS, backend->id,
	    standin_server_spec(is_llm ? "llm" : "plain", address, "a", "v1",
		is_llm ? "m0" : NULL, is_leaving,
		++backends->heartbeat_sequence));
}

static backend_t *
backend_new(soak_backends_t *backends, soak_service_t service)
{
	backend_t *backend = calloc(1, sizeof(*backend));
	at_status_t status;

	backend->backends = backends;
	backend->service = service;
	(void)snprintf(
	    backend->id, sizeof(backend->id), "i-%u", ++backends->last_id);
	backend->server = standin_server_new(backends->loop, backend->id);
	if (service == SOAK_LLM) {
		standin_server_set_engine(backend->server);
		standin_server_add_model(backend->server, "m0");
		standin_server_set_events(
		    backend->server, EVENTS, EVENT_GAP_MS);
	}
	standin_server_set_observer(backend->server, on_arrival, backend);
	if (standin_server_init(backend->server, "127.0.0.1:0", &status) !=
	    AT_OK)
		(void)fprintf(stderr, "soak: %s\n", status.message);
	list(backend, 0);
	return backend;
}

static void
backend_delete(backend_t *backend)
{
	if (backend == NULL)
		return;
	if (backend->server != NULL)
		standin_server_delete(backend->server);
	free(backend);
}

static void
clear_faults(backend_t *backend)
{
	standin_faults_t *faults = standin_server_faults(backend->server);

	faults->refuse = 0;
	faults->silent = 0;
	backend->fault_due_s = 0.;
}

/* The server has left; another one takes its place. */
static void
leave(soak_backends_t *backends, uint32_t target, int is_announced,
    uint32_t duration_ms)
{
	backend_t *backend = backends->listed[target];
	uint32_t i;

	for (i = 0; i < LEAVING_MAX && backends->leaving[i] != NULL; i++)
		;
	if (i == LEAVING_MAX || backend->server == NULL)
		return;
	if (is_announced) {
		list(backend, 1);
	} else {
		standin_store_remove(
		    backends->store, WIRE_KIND_SERVERS, backend->id);
		backend->is_unlisted = 1;
	}
	backend->left_ms = at_clock_now_ms();
	backend->is_bound = soak_judge_is_store_stable(backends->judge);
	backend->end_due_s = ev_now(backends->loop) + DRAIN_S +
			     LINGER_STEP_S * (duration_ms % 8u);
	backends->leaving[i] = backend;
	backends->listed[target] = backend_new(backends, backend->service);
}

static void
crash(soak_backends_t *backends, backend_t *backend, uint32_t duration_ms)
{
	if (backend->server == NULL)
		return;
	standin_server_delete(backend->server);
	backend->server = NULL;
	backend->start_due_s = ev_now(backends->loop) + duration_ms / 1e3;
}

void
soak_backends_apply(soak_backends_t *backends, const soak_step_t *step)
{
	backend_t *backend = backends->listed[step->target];

	if (step->kind == SOAK_BACKEND_LEAVES ||
	    step->kind == SOAK_BACKEND_REMOVED) {
		leave(backends, step->target, step->kind == SOAK_BACKEND_LEAVES,
		    step->duration_ms);
		return;
	}
	if (step->kind == SOAK_BACKEND_CRASHES) {
		crash(backends, backend, step->duration_ms);
		return;
	}
	if (step->kind == SOAK_BRITTLE) {
		double now_s = ev_now(backends->loop);

		backends->room_due_s[backend->service] = now_s + ROOM_AFTER_S;
		backends->brittle_due_s[backend->service] =
		    now_s + step->duration_ms / 1e3;
		soak_judge_brittle(backends->judge);
		return;
	}
	if (backend->server == NULL)
		return;
	if (step->kind == SOAK_PAUSE) {
		standin_server_faults(backend->server)->pause_ms =
		    step->duration_ms;
		return;
	}
	if (step->kind == SOAK_SERVER_LIMIT) {
		standin_server_faults(backend->server)->limit_milli =
		    LIMIT_MIN_MILLI + step->duration_ms % LIMIT_MORE_MILLI;
		backend->limit_due_s =
		    ev_now(backends->loop) + step->duration_ms / 1e3;
		return;
	}
	if (step->kind == SOAK_BACKEND_REJECTS)
		standin_server_faults(backend->server)->refuse = REJECT_ALL;
	else
		standin_server_faults(backend->server)->silent = REJECT_ALL;
	backend->fault_due_s = ev_now(backends->loop) + step->duration_ms / 1e3;
}

static void
set_brittle(const soak_backends_t *backends, const backend_t *backend)
{
	standin_faults_t *faults = standin_server_faults(backend->server);
	double now_s = ev_now(backends->loop);
	int is_brittle = now_s < backends->brittle_due_s[backend->service];

	faults->brittle = is_brittle ? BRITTLE : 0;
	faults->work_ms = is_brittle ? WORK_MS : 0;
	faults->room =
	    is_brittle && now_s >= backends->room_due_s[backend->service] ? ROOM
									  : 0;
}

/* Applies the part that crashes engines, and takes away what it has crashed. */
static void
check_part(soak_backends_t *backends, backend_t *backend)
{
	if (backend == NULL || backend->server == NULL)
		return;
	standin_server_faults(backend->server)->crash_part =
	    backends->part->part;
	set_brittle(backends, backend);
	if (standin_server_crash_count(backend->server) == 0)
		return;
	if (standin_server_fall_count(backend->server) > 0)
		soak_judge_fallen(backends->judge);
	else
		soak_judge_part_crashed(backends->judge);
	crash(backends, backend, PART_CRASH_MS);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_backends_t *backends = timer->data;
	double now_s = ev_now(loop);
	uint32_t i;

	(void)events;
	for (i = 0; i < SOAK_BACKENDS; i++) {
		backend_t *backend = backends->listed[i];

		check_part(backends, backend);
		if (backend->limit_due_s != 0. && backend->server != NULL &&
		    now_s >= backend->limit_due_s) {
			standin_server_faults(backend->server)->limit_milli = 0;
			backend->limit_due_s = 0.;
		}
		if (backend->fault_due_s != 0. && backend->server != NULL &&
		    now_s >= backend->fault_due_s)
			clear_faults(backend);
		if (backend->start_due_s == 0. || now_s < backend->start_due_s)
			continue;
		standin_store_remove(
		    backends->store, WIRE_KIND_SERVERS, backend->id);
		backends->listed[i] = backend_new(backends, backend->service);
		backend_delete(backend);
	}
	for (i = 0; i < LEAVING_MAX; i++) {
		backend_t *backend = backends->leaving[i];

		check_part(backends, backend);
		if (backend == NULL || now_s < backend->end_due_s)
			continue;
		if (!backend->is_unlisted)
			standin_store_remove(
			    backends->store, WIRE_KIND_SERVERS, backend->id);
		backend_delete(backend);
		backends->leaving[i] = NULL;
	}
}

soak_backends_t *
soak_backends_new(struct ev_loop *loop, soak_judge_t *judge,
    standin_store_t *store, const soak_crash_part_t *part)
{
	soak_backends_t *backends = calloc(1, sizeof(*backends));
	uint32_t i;

	backends->loop = loop;
	backends->judge = judge;
	backends->store = store;
	backends->part = part;
	for (i = 0; i < SOAK_BACKENDS; i++)
		backends->listed[i] =
		    backend_new(backends, i % 2u == 0 ? SOAK_PLAIN : SOAK_LLM);
	ev_timer_init(&backends->timer, on_timer, TICK_S, TICK_S);
	backends->timer.data = backends;
	ev_timer_start(loop, &backends->timer);
	return backends;
}

void
soak_backends_delete(soak_backends_t *backends)
{
	uint32_t i;

	ev_timer_stop(backends->loop, &backends->timer);
	for (i = 0; i < SOAK_BACKENDS; i++)
		backend_delete(backends->listed[i]);
	for (i = 0; i < LEAVING_MAX; i++)
		backend_delete(backends->leaving[i]);
	free(backends);
}
