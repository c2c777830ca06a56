/*
 * soak.h - a seeded run of almond-entry as real processes with disturbances.
 *
 * schedule.c makes the list of disturbances from the seed alone, processes.c
 * runs the instances, backends.c the backend servers, callers.c the callers,
 * and judge.c counts what has reached the backend servers. main.c applies the
 * schedule. The store, the backend servers and the callers run in the process
 * of the soak, on one event loop. Allocations are not checked.
 */
#ifndef ALMONDTHREAD_TESTS_SOAK_H
#define ALMONDTHREAD_TESTS_SOAK_H

#include "almondthread/ports.h"
#include "almondthread/status.h"
#include "platform/standin/standin_platform.h"

#define SOAK_INSTANCES_MAX 64u
#define SOAK_BACKENDS_PER_SERVICE 4u
#define SOAK_BACKENDS (2u * SOAK_BACKENDS_PER_SERVICE)
#define SOAK_RETRY_RATIO 0.2
#define SOAK_RETRY_SLACK 52u
#define SOAK_HOST "soak.example"
#define SOAK_KEY "soak-key"
#define SOAK_WORKSPACE "studio" /* that holds the key */
/* Names the instance that a request was sent to; passed on unchanged. */
#define SOAK_INSTANCE_HEADER "X-Soak-Instance"
/* Sent with a request whose prompt has the part that crashes engines. */
#define SOAK_PART_HEADER "X-Soak-Part"

typedef enum soak_service {
	SOAK_PLAIN,
	SOAK_LLM,
	SOAK_SERVICES
} soak_service_t;

/* Schedule */

typedef enum soak_kind {
	SOAK_TERM,            /* SIGTERM, and a start after the exit */
	SOAK_KILL,            /* SIGKILL, and a start */
	SOAK_FREEZE,          /* SIGSTOP, and SIGCONT after duration_ms */
	SOAK_HANG_UP,         /* SIGHUP */
	SOAK_CONFIG,          /* a new version of the configuration */
	SOAK_BACKEND_LEAVES,  /* says so, serves on, is replaced */
	SOAK_BACKEND_REMOVED, /* the same without saying so first */
	SOAK_BACKEND_CRASHES, /* and is replaced after duration_ms */
	SOAK_BACKEND_REJECTS, /* 503, not run, for duration_ms */
	SOAK_BACKEND_SILENT,  /* no response for duration_ms */
	SOAK_STORE_OUTAGE,    /* 503 for duration_ms */
	SOAK_STORE_LOSES_WATCHES,
	SOAK_STORE_DROPS_HISTORY,
	SOAK_DRAWN_KINDS, /* the following ones are scheduled apart */
	SOAK_PART_CRASHES = SOAK_DRAWN_KINDS, /* engines, for duration_ms */
	SOAK_SERVER_LIMIT, /* a backend server names one, for duration_ms */
	SOAK_CUT,          /* an instance, from all servers, for duration_ms */
	SOAK_PAUSE,   /* a sound server is silent for a second, and goes on */
	SOAK_BRITTLE, /* all servers of a service, for duration_ms */
	SOAK_KINDS
} soak_kind_t;

extern const char *const soak_kind_names[];

typedef struct soak_step {
	uint32_t at_ms; /* since the start of the traffic */
	soak_kind_t kind;
	uint32_t target; /* of the instance or backend server */
	uint32_t duration_ms;
} soak_step_t;

/*
 * soak_schedule_new() returns steps in the order of time, owned by the caller.
 * It depends on nothing but its arguments.
 */
soak_step_t *soak_schedule_new(uint64_t seed, uint32_t duration_ms,
    uint32_t instances, size_t *step_count);

/* A part that crashes engines, and whether requests with it are sent now. */
typedef struct soak_crash_part {
	uint32_t part; /* 0: none so far */
	int is_sent;
} soak_crash_part_t;

/* Judge */

typedef struct soak_judge soak_judge_t;

soak_judge_t *soak_judge_new(void);
void soak_judge_delete(soak_judge_t *judge);
/* A request was sent by a caller. */
void soak_judge_sent(
    soak_judge_t *judge, const char *id, soak_service_t service);
/*
 * A request has reached a backend server. left_ms is when the store
 * acknowledged the server's leaving, or 0; is_bound is non-zero if the store
 * was stable then. instance is that which sent it.
 */
typedef struct soak_arrival {
	const char *id;
	soak_service_t service;
	uint32_t instance;
	const char *backend;
	int is_run;
	int may_repeat;
	int has_crash_part;
	uint32_t limit_milli; /* that the server names now, in 1,000 s */
	uint64_t left_ms;
	int is_bound;
	const char *workspace; /* that the server was told; NULL: none */
} soak_arrival_t;
void soak_judge_arrived(soak_judge_t *judge, const soak_arrival_t *arrival);
/*
 * An instance is disturbed from its start, SIGTERM or SIGKILL on, or between
 * two calls with is_disturbed set and not set. It is in touch once it has not
 * been disturbed for 3 s. The same holds for the store.
 */
void soak_judge_instance_disturbed(
    soak_judge_t *judge, uint32_t instance, int is_disturbed);
void soak_judge_instance_started(soak_judge_t *judge, uint32_t instance);
void soak_judge_store_disturbed(soak_judge_t *judge, int is_disturbed);
int soak_judge_is_store_stable(const soak_judge_t *judge);
/* A step that is not planned work, with its end in ms from now. */
void soak_judge_unplanned(soak_judge_t *judge, uint32_t duration_ms);
/* Requests with another part that crashes engines are sent from now on. */
void soak_judge_part_begins(soak_judge_t *judge);
void soak_judge_part_ends(soak_judge_t *judge);
/* A request with the part has crashed an engine. */
void soak_judge_part_crashed(soak_judge_t *judge);
/*
 * Sound streams: when one is sent for the first time, its phase is that of the
 * instance that it is sent to; when the attempt has ended, it is counted.
 */
typedef enum soak_phase {
	SOAK_PHASE_CALM,
	SOAK_PHASE_CRASHING, /* some time after the crashes of a part */
	SOAK_PHASE_OTHER,    /* not counted */
	SOAK_PHASES
} soak_phase_t;
soak_phase_t soak_judge_phase(const soak_judge_t *judge, uint32_t instance);
void soak_judge_stream_ended(
    soak_judge_t *judge, soak_phase_t phase, int has_begun);
/*
 * Cuts. A first attempt is counted in the group that it is in when it is sent:
 * there is a cut that has lasted for 3 s, and its instance is in touch. The
 * same holds for an outage of the store: the instance has started in it, beside
 * others that know its state, or before.
 */
typedef enum soak_group {
	SOAK_GROUP_NONE,
	SOAK_GROUP_CUT,
	SOAK_GROUP_OTHERS,
	SOAK_GROUP_STARTED,
	SOAK_GROUP_KNOWING,
	SOAK_GROUPS
} soak_group_t;
void soak_judge_cut(soak_judge_t *judge, uint32_t instance, int is_cut);
soak_group_t soak_judge_group(soak_judge_t *judge, uint32_t instance);
void soak_judge_tried(soak_judge_t *judge, soak_group_t group, int is_served);
/* A time begins in which servers state that they are brittle; one falls over.
 */
void soak_judge_brittle(soak_judge_t *judge);
void soak_judge_fallen(soak_judge_t *judge);
/* A process has ended by itself. */
void soak_judge_exited(soak_judge_t *judge, uint32_t instance, int status);
/* Prints counts and broken rules; returns the number of broken rules. */
uint32_t soak_judge_report(soak_judge_t *judge);

/* Processes */

typedef struct soak_processes soak_processes_t;

/* Starts count instances with their logs in the folder work. */
soak_processes_t *soak_processes_new(struct ev_loop *loop, soak_judge_t *judge,
    const char *program, const char *work, const char *store, uint32_t count);
/* Kills what still runs. */
void soak_processes_delete(soak_processes_t *processes);
uint32_t soak_processes_count(const soak_processes_t *processes);
const char *soak_processes_address(
    const soak_processes_t *processes, uint32_t instance);
/* Non-zero if the instance runs and has not got SIGTERM. */
int soak_processes_is_open(
    const soak_processes_t *processes, uint32_t instance);
/* Applies a step for instances; one that cannot apply has no effect. */
void soak_processes_apply(soak_processes_t *processes, const soak_step_t *step);

/* Backend servers */

typedef struct soak_backends soak_backends_t;

/* part is borrowed. */
soak_backends_t *soak_backends_new(struct ev_loop *loop, soak_judge_t *judge,
    standin_store_t *store, const soak_crash_part_t *part);
void soak_backends_delete(soak_backends_t *backends);
void soak_backends_apply(soak_backends_t *backends, const soak_step_t *step);

/* Callers */

typedef struct soak_callers soak_callers_t;

/* part is borrowed. */
soak_callers_t *soak_callers_new(struct ev_loop *loop, soak_judge_t *judge,
    const soak_processes_t *processes, const soak_crash_part_t *part,
    uint64_t seed, uint32_t count);
/* No further requests are sent; prints how the requests have ended. */
void soak_callers_stop(soak_callers_t *callers);
void soak_callers_delete(soak_callers_t *callers);

#endif
