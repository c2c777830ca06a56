/*
 * Case 7: streams that begin at an engine of a new software version, break and
 * are taken up at an instance that does not know of that version: it has been
 * partitioned from the platform's store for less than a second.
 */
#include "../world2.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define INSTANCES 3 /* two in muscat-a, one in muscat-b */
#define FAR 2       /* the one in muscat-b */
#define OLD_ENGINES 2
#define CLIENTS 40
#define START_MS 4000u
#define EVENTS 30u
#define BEGUN_MIN 3  /* streams at the new version at the kill */
#define JOINED_MAX 2 /* "more than two streams" break ORDER */

static const char config[] =
    "{\"version\":1,\"services\":[{\"name\":\"notes-llm\",\"engine\":{"
    "\"slots\":64,\"kv_capacity\":149759,\"weights_mb\":230000,"
    "\"adapter_slots\":8,\"loads_per_s\":2.1,\"models\":[{\"name\":\"m0\","
    "\"weights_mb\":65100,\"load_s\":3.8}]}}],\"routes\":[{\"name\":"
    "\"live-notes\",\"hostname\":\"booths.example\",\"path_prefix\":"
    "\"/notes/\",\"type\":\"streaming\",\"timeout_ms\":15000,"
    "\"target_latency_ms\":400,\"gap_target_ms\":300,\"max_attempts\":2,"
    "\"resumable\":true,\"service\":\"notes-llm\"}],\"tenants\":[{\"name\":"
    "\"studio\",\"api_keys\":[\"key-0\"]}]}";

typedef struct caller {
	int number;
	pthread_t thread;
	client_t *client;
	char unread[512];
	size_t unread_len;
	uint32_t last_event;
	char versions[2][16]; /* of the events; more than one: joined */
	char text[1024];      /* what has arrived */
} caller_t;

static instance_t instances[INSTANCES];
static caller_t callers[CLIENTS];
static pthread_barrier_t ready;
static int has_trouble;
static int joined_count;
static volatile int begun_new;
static int complete_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
on_run(const server_t *server, const message_t *request)
{
	const char *after = message_header(request, "Last-Event-Id");

	record("engine %s runs %s after event %s", server_id(server),
	    message_header(request, "X-Attempt-Id"),
	    after == NULL ? "-" : after);
}

static uint32_t
events_of(const message_t *request)
{
	(void)request;
	return EVENTS;
}

static void
note_version(caller_t *caller, const char *name)
{
	if (caller->versions[0][0] == '\0') {
		(void)snprintf(caller->versions[0], sizeof(caller->versions[0]),
		    "%s", name);
		(void)pthread_mutex_lock(&lock);
		begun_new += strcmp(name, "v2") == 0;
		(void)pthread_mutex_unlock(&lock);
	} else if (strcmp(caller->versions[0], name) != 0) {
		(void)snprintf(caller->versions[1], sizeof(caller->versions[1]),
		    "%s", name);
	}
}

static int
on_body(void *ctx, const char *data, size_t len)
{
	caller_t *caller = ctx;
	char name[16];
	size_t i;

	for (i = 0; i < len; i++) {
		if (caller->unread_len + 1 < sizeof(caller->unread))
			caller->unread[caller->unread_len++] = data[i];
		if (data[i] != '\n' || caller->unread_len < 2 ||
		    caller->unread[caller->unread_len - 2] != '\n')
			continue;
		caller->unread[caller->unread_len] = '\0';
		if (sscanf(caller->unread, "id: %u\ndata: %15s",
			&caller->last_event, name) == 2)
			note_version(caller, name);
		caller->unread_len = 0;
	}
	return 0;
}

static int
send_stream(caller_t *caller, int try, const char *first)
{
	char text[1024];
	char resumes[128] = "";
	int n;

	if (caller->last_event != 0)
		(void)snprintf(resumes, sizeof(resumes),
		    "Last-Event-Id: %u\r\nResumes: %s\r\n", caller->last_event,
		    first);
	n = snprintf(text, sizeof(text),
	    "POST /notes/%d HTTP/1.1\r\nHost: booths.example\r\n"
	    "Authorization: Bearer key-0\r\nX-Attempt-Id: s%dt%d\r\n"
	    "X-Deadline-Ms: 15000\r\nX-Model: m0\r\nX-Token-Count: 60,150\r\n"
	    "X-Prompt-Prefix: ab:20,%x:40\r\n%sContent-Length: 2\r\n\r\n{}",
	    caller->number, caller->number, try,
	    (unsigned)(1000 + caller->number), resumes);
	caller->unread_len = 0;
	return client_send(caller->client, text, (size_t)n);
}

/* A stream, which is taken up again if its connection breaks. */
static void *
run_caller(void *ctx)
{
	caller_t *caller = ctx;
	message_t *answer = calloc(1, sizeof(*answer));
	const char *address = instances[caller->number % 2].listen;
	char first[32];
	int is_complete = 0;
	int status;
	int try;

	(void)snprintf(first, sizeof(first), "s%dt0", caller->number);
	(void)client_connect(caller->client, address);
	(void)pthread_barrier_wait(&ready);
	(void)pthread_barrier_wait(&ready);
	for (try = 0; try < 3 && !is_complete; try++) {
		if (send_stream(caller, try, first) == 0)
			is_complete = client_read_each(caller->client, answer,
					  15000, on_body, caller) == 0;
		status = status_of(answer);
		record("client %d: try %d status %d last event %u, "
		       "versions %s %s%s",
		    caller->number, try, status, caller->last_event,
		    caller->versions[0], caller->versions[1],
		    is_complete ? "" : ", connection broken");
		is_complete &= status == 200;
		client_close(caller->client);
		if (is_complete)
			break;
		if (status == 503)
			sleep_ms(200);
		/* None of its zone is there: the nearest one. */
		(void)client_connect(caller->client, instances[FAR].listen);
	}
	(void)pthread_mutex_lock(&lock);
	complete_count += is_complete;
	joined_count += caller->versions[1][0] != '\0';
	(void)pthread_mutex_unlock(&lock);
	client_close(caller->client);
	message_clear(answer);
	free(answer);
	return NULL;
}

static void
list_engine(store_t *store, const char *id, const char *version)
{
	const server_spec_t spec = {.id = id,
	    .service = "notes-llm",
	    .zone = "muscat-a",
	    .model = "m0",
	    .version = version,
	    .slots = 64,
	    .event_ms = 25};

	server_list(store, server_start(&spec));
	record("engine %s of version %s is listed", id, version);
}

static void
start_world(store_t *store)
{
	static const char *const names[INSTANCES] = {"frontend-muscat-a-1",
	    "frontend-muscat-a-2", "frontend-muscat-b-1"};
	int i;

	list_engine(store, "i-old0", "v1");
	list_engine(store, "i-old1", "v1");
	store_put(store, "config", "main", config);
	for (i = 0; i < INSTANCES; i++) {
		instance_add(&instances[i], world_folder(), names[i],
		    i == FAR ? "muscat-b" : "muscat-a", store_open(store, i));
		instance_start(&instances[i]);
	}
	for (i = 0; i < INSTANCES; i++) {
		if (instance_await_ready(&instances[i], 5000) != 0) {
			world_end(instances, INSTANCES);
			exit(2);
		}
	}
}

int
main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	store_t *store;
	int i;

	has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	record_open(argc > 1 ? argv[1] : "record.txt");
	server_on_run = on_run;
	server_events_of = events_of;
	store = store_start();
	start_world(store);
	(void)pthread_barrier_init(&ready, NULL, CLIENTS + 1);
	sleep_until(START_MS);
	for (i = 0; i < CLIENTS; i++) {
		callers[i].number = i;
		callers[i].client = calloc(1, sizeof(client_t));
		callers[i].client->fd = -1;
		(void)pthread_create(
		    &callers[i].thread, NULL, run_caller, &callers[i]);
	}
	(void)pthread_barrier_wait(&ready);
	if (has_trouble)
		store_cut(store, FAR);
	sleep_ms(100);
	/* Planned work: the first engine of a new version joins. */
	list_engine(store, "i-new0", "v2");
	sleep_ms(300);
	(void)pthread_barrier_wait(&ready);
	if (has_trouble) {
		/* Right after the first events were passed on. */
		for (i = 0; i < 500 && begun_new < BEGUN_MIN; i++)
			usleep(100);
		instance_signal(&instances[0], SIGKILL);
		instance_signal(&instances[1], SIGKILL);
	}
	for (i = 0; i < CLIENTS; i++)
		(void)pthread_join(callers[i].thread, NULL);
	record("streams %d, complete %d, begun at the new version %d, with "
	       "events of two versions %d",
	    CLIENTS, complete_count, begun_new, joined_count);
	world_end(instances, INSTANCES);
	(void)printf("streams %d, complete %d, begun at v2 %d, joined from two "
		     "versions %d, allowed %d\n",
	    CLIENTS, complete_count, begun_new, joined_count, JOINED_MAX);
	if (begun_new <= JOINED_MAX)
		return 2;
	return joined_count > JOINED_MAX;
}
