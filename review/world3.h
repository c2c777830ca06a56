/*
 * world3.h - what the cases of the third review share: a store, engines,
 * clients and instances of almond-entry, on one event loop. The store is the
 * project's stand-in; engines and clients are here. The instances are separate
 * processes, started as deploy/system.toml does.
 */
#ifndef REVIEW_WORLD3_H
#define REVIEW_WORLD3_H

#include <stdint.h>

#include <ev.h>

#include "io/httpc.h"
#include "platform/standin/standin_platform.h"

#define W_HEARTBEAT_MS 1200
#define W_CONTACT_S 3. /* contact_ms of the small deployments */
#define W_ENGINES_MAX 16
#define W_INSTANCES_MAX 8
#define W_STREAMS_MAX 512
#define W_MODELS_MAX 4
#define W_ADAPTERS_MAX 16
#define W_MODEL_MB 72700 /* of the small deployments, as the next ones */
#define W_ADAPTER_MB 66
#define W_ADAPTERS 20 /* of each model */
#define W_ADAPTER_SLOTS 8
#define W_EVENTS_MAX 256

typedef struct w_engine {
	char id[32];
	char version[16]; /* of its software */
	char service[16];
	char address[32];
	int64_t born_ms;
	uint64_t heartbeats;
	uint64_t orders; /* accepted */
	char models[W_MODELS_MAX][16];
	size_t model_count;
	char adapters[W_ADAPTERS_MAX][24]; /* "MODEL/ADAPTER" */
	size_t adapter_count;
	uint32_t beyond_memory; /* orders that do not fit, which crash it */
	uint64_t fence;         /* highest seen */
	int is_registered;
	uint32_t event_gap_ms;
	uint32_t events;
	uint32_t runs; /* requests that it began to run */
	uint32_t slots;
	uint32_t waiting_max; /* requests beyond the slots that may wait */
	uint32_t open;        /* requests that run or wait */
	at_httpd_t *httpd;
	ev_timer heartbeat;
	ev_timer fall;
} w_engine_t;

typedef struct w_instance {
	char name[32];
	uint16_t ports[4]; /* of callers, checks, metrics and peers */
	int pid;           /* 0: not running */
	int is_stopping;   /* it was sent SIGTERM */
	double calm_at;    /* in touch from then on */
	double after_s;    /* from its end to its start */
	double start_at;
	ev_timer check;
} w_instance_t;

/* One stream as its client sees it, over all its tries. */
typedef struct w_stream {
	uint32_t number;
	char model[24];
	const char *key;
	const w_instance_t *only; /* instance for its tries; NULL: any */
	char first_id[32];        /* of the try that brought the first event */
	char id[32];              /* of the present try */
	uint32_t tries;
	uint32_t last_event;
	uint32_t faults; /* events that are missing or came twice */
	int is_done;
	int is_failed;
	char versions[W_EVENTS_MAX]; /* of the engine of each event */
	char buffer[4096];
	size_t buffered;
	int status;
	double retry_after_s;
	double deadline_at;
	double next_at;           /* of the next try */
	double gap_s;             /* to the next try; it doubles */
	int is_in_touch;          /* the present try is at a machine in touch */
	uint32_t event_at_try;    /* the last event before the present try */
	int has_resumed_in_touch; /* it was taken up at a machine in touch */
	int went_on_in_touch;     /* and has gone on there */
	int has_begun_at_first;   /* its first try has brought an event */
	at_transfer_t *transfer;
} w_stream_t;

typedef struct world {
	struct ev_loop *loop;
	at_httpc_t *client;
	standin_store_t *store;
	int has_trouble;      /* TROUBLE is not 0 */
	uint32_t deadline_ms; /* of clients and of the route */
	int has_old_key;      /* the configuration has W_OLD_KEY, too */
	uint32_t weights_mb;  /* of an engine, for weights and adapters */
	int is_store_away;
	char folder[64];
	w_engine_t engines[W_ENGINES_MAX];
	size_t engine_count;
	w_instance_t instances[W_INSTANCES_MAX];
	size_t instance_count;
	w_stream_t streams[W_STREAMS_MAX];
	size_t stream_count;
	double started_at;
} world_t;

extern world_t world;

/* Opens record.txt in the folder, and starts the store. */
void w_begin(const char *record);
/* Writes a line with the time since the start. */
void w_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
double w_now(void);
/* Runs the loop for this time, or until it is that time. */
void w_run_ms(uint32_t ms);
void w_run_until(double at);
/* Ends everything that was started. */
void w_end(void);

#define W_KEY "review-key"
#define W_OLD_KEY "withdrawn-key"
/* The configuration: /chat/ streams that may be resumed, from service "llm". */
void w_put_config(uint64_t version);

/* An engine, which listens; w_register() writes its entry, then heartbeats. */
w_engine_t *w_add_engine(const char *id, const char *version);
/* Another model that it holds from the start, beside m0. */
void w_add_model(w_engine_t *engine, const char *model);
void w_register(w_engine_t *engine);
void w_write_entry(w_engine_t *engine);

w_instance_t *w_add_instance(const char *name);
void w_start_instance(w_instance_t *instance);
void w_kill_instance(w_instance_t *instance);
/* SIGTERM; it is started again after this time from its end. */
void w_restart_instance(w_instance_t *instance, uint32_t after_ms);
/* Returns non-zero once all of them are ready, within this time. */
int w_await_ready(uint32_t ms);

/*
 * Starts a stream. Its client repeats a few times until the deadline, after
 * 0.25 s and then twice as long each time, or as Retry-After says.
 */
w_stream_t *w_start_stream(const char *model);
/* One with this key at one instance, which is not repeated. */
w_stream_t *w_try_key(const char *key, const w_instance_t *instance);
/*
 * Returns non-zero if the rule LOST on streams that are taken up again is
 * broken; streams from first_new on are new ones that are begun meanwhile.
 */
int w_judge_resumptions(size_t first_new);
uint32_t w_open_streams(void);
/* Number of engines' software versions of which a stream has events. */
uint32_t w_versions_of(const w_stream_t *stream);

#endif
