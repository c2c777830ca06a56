/*
 * Case 6: an instance has just been started when the platform's store goes and
 * comes back from an older copy. Requests that it had passed on by then get no
 * answer.
 */
#include "../world2.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 6
#define SERVERS 3
#define CLIENTS_EACH 8
#define LOST_MAX 3 /* "more than three times" breaks LOST */
#define CONTACT_MS 3000u
#define SLOW_MS 240u /* x = 60 on 4 ms */
#define START_MS 4000u
/* Of the store's absence, since the start of the instance. */
#define AWAY_FROM_MS 400u
#define AWAY_UNTIL_MS 3150u

static const char config[] =
    "{\"version\":1,\"services\":[{\"name\":\"booking-app\"}],\"routes\":["
    "{\"name\":\"charge\",\"hostname\":\"booths.example\",\"path_prefix\":"
    "\"/charge/\",\"type\":\"unsafe\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":300,\"max_attempts\":2,\"service\":"
    "\"booking-app\"},"
    "{\"name\":\"slots\",\"hostname\":\"booths.example\",\"path_prefix\":"
    "\"/slots/\",\"type\":\"safe\",\"timeout_ms\":3000,"
    "\"target_latency_ms\":300,\"max_attempts\":2,\"service\":"
    "\"booking-app\"}]}";

static const char *const zones[] = {"muscat-a", "muscat-b", "muscat-c"};

typedef struct caller {
	int number;
	instance_t *instance;
	pthread_t thread;
} caller_t;

static instance_t instances[INSTANCES];
static volatile int is_over;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char running[512][32]; /* ids that a server has begun */
static int running_next;
static int sent_count;
static int answered_count;
static int lost_count;

static void
on_run(const server_t *server, const message_t *request)
{
	const char *id = message_header(request, "X-Attempt-Id");

	(void)pthread_mutex_lock(&lock);
	(void)snprintf(
	    running[running_next++ % 512], sizeof(running[0]), "%.31s", id);
	(void)pthread_mutex_unlock(&lock);
	record("server %s runs %s", server_id(server), id);
}

static int
has_run(const char *id)
{
	int i;
	int found = 0;

	(void)pthread_mutex_lock(&lock);
	for (i = 0; i < 512; i++)
		found |= strcmp(running[i], id) == 0;
	(void)pthread_mutex_unlock(&lock);
	return found;
}

/* A request that was passed on has ended without an answer. */
static void
note_lost(const caller_t *caller, const char *id, uint64_t sent_ms)
{
	uint64_t ran_ms = sent_ms - caller->instance->started_ms;
	int counts = ran_ms >= CONTACT_MS;

	record("client %d: %s of %s was run, and its connection ended without "
	       "an answer; instance ran for %llu ms%s",
	    caller->number, id, caller->instance->name,
	    (unsigned long long)ran_ms, counts ? "" : " (not counted)");
	(void)pthread_mutex_lock(&lock);
	lost_count += counts;
	(void)pthread_mutex_unlock(&lock);
}

/* Sends requests on kept connections, one after the other. */
static void *
run_caller(void *ctx)
{
	caller_t *caller = ctx;
	client_t *c = calloc(1, sizeof(*c));
	message_t *answer = calloc(1, sizeof(*answer));
	int k;

	c->fd = -1;
	for (k = 0; !is_over; k++) {
		const char *close_header;
		char id[32];
		char text[512];
		uint64_t sent_ms;
		int is_kept = c->fd >= 0;
		int n;

		if (!is_kept && client_connect(c, caller->instance->listen)) {
			sleep_ms(50);
			continue;
		}
		(void)snprintf(id, sizeof(id), "c%02d%06d", caller->number, k);
		n = snprintf(text, sizeof(text),
		    k % 2 == 0
			? "POST /charge/%d HTTP/1.1\r\nHost: booths.example\r\n"
			  "X-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
			  "Content-Length: 2\r\n\r\n{}"
			: "GET /slots/%d HTTP/1.1\r\nHost: booths.example\r\n"
			  "X-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n",
		    k, id);
		sent_ms = now_ms();
		sent_count++;
		if (client_send(c, text, (size_t)n) != 0 ||
		    client_read(c, answer, 3500) != 0) {
			if (is_kept && has_run(id))
				note_lost(caller, id, sent_ms);
			else
				record("client %d: no answer to %s",
				    caller->number, id);
			client_close(c);
			sleep_ms(50);
			continue;
		}
		answered_count++;
		close_header = message_header(answer, "Connection");
		if (close_header != NULL)
			client_close(c);
		if (status_of(answer) != 200)
			sleep_ms(100);
	}
	client_close(c);
	message_clear(answer);
	free(answer);
	free(c);
	return NULL;
}

static void
start_world(store_t *store)
{
	char name[48];
	int i;

	for (i = 0; i < SERVERS; i++) {
		static char ids[SERVERS][16];
		server_spec_t spec = {.service = "booking-app",
		    .zone = zones[i],
		    .version = "v1",
		    .slots = 20,
		    .work_ms = 60};

		(void)snprintf(ids[i], sizeof(ids[i]), "i-app%d", i);
		spec.id = ids[i];
		server_list(store, server_start(&spec));
	}
	store_put(store, "config", "main", config);
	for (i = 0; i < INSTANCES; i++) {
		(void)snprintf(name, sizeof(name), "frontend-%s-%d",
		    zones[i % 3], i / 3 + 1);
		instance_add(&instances[i], world_folder(), name, zones[i % 3],
		    store_open(store, i));
		instance_start(&instances[i]);
	}
	for (i = 0; i < INSTANCES; i++) {
		if (instance_await_ready(&instances[i], 5000) != 0) {
			record("instance %s: not ready", instances[i].name);
			world_end(instances, INSTANCES);
			exit(2);
		}
	}
}

int
main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	int has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	static caller_t callers[INSTANCES * CLIENTS_EACH];
	instance_t *restarted = &instances[INSTANCES - 1];
	store_t *store;
	uint64_t begun_ms;
	int i;

	record_open(argc > 1 ? argv[1] : "record.txt");
	server_on_run = on_run;
	store = store_start();
	start_world(store);
	for (i = 0; i < INSTANCES * CLIENTS_EACH; i++) {
		callers[i] = (caller_t){i, &instances[i % INSTANCES], 0};
		(void)pthread_create(
		    &callers[i].thread, NULL, run_caller, &callers[i]);
	}
	sleep_until(START_MS);
	store_copy(store);
	/* Planned work: one instance is stopped and started again. */
	sleep_ms(1500);
	instance_signal(restarted, SIGTERM);
	if (!instance_wait(restarted, 8500)) {
		record("instance %s: did not stop", restarted->name);
		world_end(instances, INSTANCES);
		return 2;
	}
	/* The store becomes slow, goes, and comes back from the copy. */
	if (has_trouble)
		store_set_delay(store, SLOW_MS);
	begun_ms = now_ms();
	instance_start(restarted);
	if (has_trouble) {
		sleep_until(begun_ms + AWAY_FROM_MS);
		store_leave(store);
		sleep_until(begun_ms + AWAY_UNTIL_MS);
		store_set_delay(store, 4);
		store_return(store, 1);
	}
	(void)instance_wait(restarted, 8000);
	is_over = 1;
	for (i = 0; i < INSTANCES * CLIENTS_EACH; i++)
		(void)pthread_join(callers[i].thread, NULL);
	record("sent %d, answered %d, lost after they were passed on %d; "
	       "instance %s %s",
	    sent_count, answered_count, lost_count, restarted->name,
	    restarted->pid == 0 ? "ended by itself" : "runs");
	world_end(instances, INSTANCES);
	(void)printf("lost %d of %d, allowed %d; %s\n", lost_count, sent_count,
	    LOST_MAX,
	    restarted->pid == 0 ? "an instance ended by itself"
				: "no instance ended");
	return lost_count > LOST_MAX;
}
