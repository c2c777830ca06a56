/* world2.c - see world2.h. */
#define _GNU_SOURCE
#include "world2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#define OBJECTS_MAX 256
#define ORDER_MS 2u /* between two answers after an absence */

/* Time and record */

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t start_ms;

static uint64_t
clock_ms(void)
{
	struct timespec t;

	(void)clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000u + (uint64_t)t.tv_nsec / 1000000u;
}

uint64_t
now_ms(void)
{
	return clock_ms() - start_ms;
}

void
sleep_ms(uint32_t ms)
{
	struct timespec t = {ms / 1000u, (long)(ms % 1000u) * 1000000L};

	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		continue;
}

void
sleep_until(uint64_t at_ms)
{
	uint64_t now = now_ms();

	if (at_ms > now)
		sleep_ms((uint32_t)(at_ms - now));
}

void
record_open(const char *path)
{
	start_ms = clock_ms();
	(void)signal(SIGPIPE, SIG_IGN);
	record_file = fopen(path, "w");
	if (record_file == NULL) {
		perror(path);
		exit(2);
	}
}

void
record(const char *format, ...)
{
	va_list args;
	uint64_t now = now_ms();

	(void)pthread_mutex_lock(&record_lock);
	(void)fprintf(record_file, "%7llu.%03llu ",
	    (unsigned long long)(now / 1000u),
	    (unsigned long long)(now % 1000u));
	va_start(args, format);
	(void)vfprintf(record_file, format, args);
	va_end(args);
	(void)fputc('\n', record_file);
	(void)fflush(record_file);
	(void)pthread_mutex_unlock(&record_lock);
}

/* Messages */

const char *
message_header(const message_t *message, const char *name)
{
	int i;

	for (i = 0; i < message->count; i++) {
		if (strcasecmp(message->names[i], name) == 0)
			return message->values[i];
	}
	return NULL;
}

void
message_clear(message_t *message)
{
	free(message->body);
	memset(message, 0, sizeof(*message));
}

static ssize_t
fill(client_t *c, uint64_t until_ms)
{
	struct pollfd p = {.fd = c->fd, .events = POLLIN};
	uint64_t now = now_ms();
	ssize_t n;

	if (c->unread_len == sizeof(c->unread))
		return -1;
	if (now >= until_ms || poll(&p, 1, (int)(until_ms - now)) <= 0)
		return -1;
	n = recv(c->fd, c->unread + c->unread_len,
	    sizeof(c->unread) - c->unread_len, 0);
	if (n > 0)
		c->unread_len += (size_t)n;
	return n;
}

static void
drop(client_t *c, size_t len)
{
	memmove(c->unread, c->unread + len, c->unread_len - len);
	c->unread_len -= len;
}

/* Returns 0 with a line without its end. */
static int
read_line(client_t *c, char *line, size_t size, uint64_t until_ms)
{
	char *end;
	size_t len;

	while ((end = memchr(c->unread, '\n', c->unread_len)) == NULL) {
		if (fill(c, until_ms) <= 0)
			return -1;
	}
	len = (size_t)(end - c->unread);
	(void)snprintf(line, size, "%.*s", (int)len, c->unread);
	line[strcspn(line, "\r\n")] = '\0';
	drop(c, len + 1);
	return 0;
}

typedef struct sink {
	message_t *message;
	int (*on_body)(void *ctx, const char *data, size_t len);
	void *ctx;
} sink_t;

static int
take_body(const sink_t *sink, const char *data, size_t len)
{
	message_t *m = sink->message;
	char *grown = realloc(m->body, m->len + len + 1);

	if (grown == NULL)
		return -1;
	m->body = grown;
	memcpy(m->body + m->len, data, len);
	m->len += len;
	m->body[m->len] = '\0';
	return sink->on_body == NULL ? 0 : sink->on_body(sink->ctx, data, len);
}

static int
read_bytes(client_t *c, const sink_t *sink, size_t len, uint64_t until_ms)
{
	while (len > 0) {
		size_t part;

		if (c->unread_len == 0 && fill(c, until_ms) <= 0)
			return -1;
		part = c->unread_len < len ? c->unread_len : len;
		if (take_body(sink, c->unread, part) != 0)
			return -1;
		drop(c, part);
		len -= part;
	}
	return 0;
}

static int
read_chunks(client_t *c, const sink_t *sink, uint64_t until_ms)
{
	char line[256];
	size_t len;

	for (;;) {
		if (read_line(c, line, sizeof(line), until_ms) != 0)
			return -1;
		len = strtoul(line, NULL, 16);
		if (len == 0)
			break;
		if (read_bytes(c, sink, len, until_ms) != 0 ||
		    read_line(c, line, sizeof(line), until_ms) != 0)
			return -1;
	}
	do {
		if (read_line(c, line, sizeof(line), until_ms) != 0)
			return -1;
	} while (line[0] != '\0');
	return 0;
}

static int
read_head(client_t *c, message_t *m, uint64_t until_ms)
{
	char line[2048];

	if (read_line(c, m->start, sizeof(m->start), until_ms) != 0)
		return -1;
	for (;;) {
		char *value;

		if (read_line(c, line, sizeof(line), until_ms) != 0)
			return -1;
		if (line[0] == '\0')
			return 0;
		value = strchr(line, ':');
		if (value == NULL || m->count == HEADERS_MAX)
			continue;
		*value++ = '\0';
		value += strspn(value, " \t");
		(void)snprintf(
		    m->names[m->count], sizeof(m->names[0]), "%.47s", line);
		(void)snprintf(
		    m->values[m->count], sizeof(m->values[0]), "%.511s", value);
		m->count++;
	}
}

static int
read_message(client_t *c, message_t *m, uint64_t until_ms, int is_answer,
    int (*on_body)(void *ctx, const char *data, size_t len), void *ctx)
{
	const sink_t sink = {m, on_body, ctx};
	const char *text;
	int result;

	message_clear(m);
	if (read_head(c, m, until_ms) != 0)
		return -1;
	text = message_header(m, "Transfer-Encoding");
	if (text != NULL && strcasecmp(text, "chunked") == 0) {
		result = read_chunks(c, &sink, until_ms);
	} else {
		text = message_header(m, "Content-Length");
		result = text == NULL && is_answer
			     ? -1
			     : read_bytes(c, &sink,
				   text == NULL ? 0 : strtoul(text, NULL, 10),
				   until_ms);
	}
	m->is_complete = result == 0;
	return result;
}

/* Sockets */

static struct sockaddr_in
parse_address(const char *address)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	char host[32];
	const char *colon = strchr(address, ':');

	(void)snprintf(
	    host, sizeof(host), "%.*s", (int)(colon - address), address);
	(void)inet_pton(AF_INET, host, &a.sin_addr);
	a.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return a;
}

static int
listen_on(char address[32])
{
	struct sockaddr_in a = parse_address("127.0.0.1:0");
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
	    listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) != 0) {
		perror("listen");
		exit(2);
	}
	(void)snprintf(address, 32, "127.0.0.1:%u", ntohs(a.sin_port));
	return fd;
}

/* Below the ports that the kernel gives to connections. */
uint16_t
free_port(void)
{
	static uint16_t next;
	int i;

	if (next == 0)
		next = (uint16_t)(10000 + getpid() * 37 % 20000);
	for (i = 0; i < 20000; i++) {
		struct sockaddr_in a = parse_address("127.0.0.1:0");
		int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		int is_free;

		next = next >= 31000 ? 10000 : next + 1;
		a.sin_port = htons(next);
		is_free = bind(tcp, (struct sockaddr *)&a, sizeof(a)) == 0 &&
			  bind(udp, (struct sockaddr *)&a, sizeof(a)) == 0;
		(void)close(tcp);
		(void)close(udp);
		if (is_free)
			return next;
	}
	exit(2);
}

int
client_connect(client_t *c, const char *address)
{
	struct sockaddr_in a = parse_address(address);
	int one = 1;

	c->unread_len = 0;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(c->fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
		client_close(c);
		return -1;
	}
	(void)setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return 0;
}

void
client_close(client_t *c)
{
	if (c->fd >= 0)
		(void)close(c->fd);
	c->fd = -1;
}

int
client_send(client_t *c, const char *text, size_t len)
{
	while (len > 0) {
		ssize_t n = send(c->fd, text, len, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		text += n;
		len -= (size_t)n;
	}
	return 0;
}

int
client_read(client_t *c, message_t *answer, uint32_t wait_ms)
{
	return client_read_each(c, answer, wait_ms, NULL, NULL);
}

int
client_read_each(client_t *c, message_t *answer, uint32_t wait_ms,
    int (*on_body)(void *ctx, const char *data, size_t len), void *ctx)
{
	return read_message(c, answer, now_ms() + wait_ms, 1, on_body, ctx);
}

int
status_of(const message_t *answer)
{
	const char *space = strchr(answer->start, ' ');

	return space == NULL ? 0 : atoi(space + 1);
}

/* A server of connections: one thread each */

typedef struct service {
	int fd;
	void (*serve)(void *ctx, client_t *c, const message_t *request);
	void *ctx;
} service_t;

typedef struct connection {
	const service_t *service;
	client_t client;
} connection_t;

static void *
run_connection(void *ctx)
{
	connection_t *connection = ctx;
	message_t *request = calloc(1, sizeof(*request));

	while (connection->client.fd >= 0 &&
	       read_message(&connection->client, request, UINT32_MAX / 2, 0,
		   NULL, NULL) == 0)
		connection->service->serve(
		    connection->service->ctx, &connection->client, request);
	message_clear(request);
	free(request);
	client_close(&connection->client);
	free(connection);
	return NULL;
}

static void
start_thread(void *(*run)(void *), void *ctx)
{
	pthread_t thread;
	pthread_attr_t attr;

	(void)pthread_attr_init(&attr);
	(void)pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	(void)pthread_attr_setstacksize(&attr, 512 * 1024);
	if (pthread_create(&thread, &attr, run, ctx) != 0)
		exit(2);
	(void)pthread_attr_destroy(&attr);
}

static void *
run_service(void *ctx)
{
	service_t *service = ctx;
	int one = 1;

	for (;;) {
		connection_t *connection = calloc(1, sizeof(*connection));

		connection->service = service;
		connection->client.fd =
		    accept4(service->fd, NULL, NULL, SOCK_CLOEXEC);
		if (connection->client.fd < 0) {
			free(connection);
			continue;
		}
		(void)setsockopt(connection->client.fd, IPPROTO_TCP,
		    TCP_NODELAY, &one, sizeof(one));
		start_thread(run_connection, connection);
	}
	return NULL;
}

static void
answer(client_t *c, const char *status, const char *headers, const char *body)
{
	size_t len = strlen(body);
	char *text = malloc(len + 1024);
	int n = snprintf(text, len + 1024,
	    "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n%s", status, headers,
	    len, body);

	if (client_send(c, text, (size_t)n) != 0)
		client_close(c);
	free(text);
}

/* The store */

typedef struct object {
	char kind[48];
	char name[96];
	json_t *spec;
	uint64_t revision;
	int is_deleted;
} object_t;

typedef struct state {
	object_t objects[OBJECTS_MAX];
	int count;
	uint64_t revision;
} state_t;

#define GATES_MAX 16

typedef struct gate {
	store_t *store;
	service_t service;
	char address[32];
	volatile int is_cut;
} gate_t;

struct store {
	gate_t gates[GATES_MAX];
	pthread_mutex_t lock;
	pthread_cond_t changed;
	state_t now;
	state_t copy;
	uint64_t era;
	uint32_t delay_ms;
	int is_away;
	uint64_t waiting; /* calls that wait for its return */
	uint64_t returned;
};

static object_t *
find_object(state_t *state, const char *kind, const char *name)
{
	int i;

	for (i = 0; i < state->count; i++) {
		if (strcmp(state->objects[i].kind, kind) == 0 &&
		    strcmp(state->objects[i].name, name) == 0)
			return &state->objects[i];
	}
	return NULL;
}

static object_t *
write_object(store_t *s, const char *kind, const char *name, json_t *spec)
{
	object_t *o = find_object(&s->now, kind, name);

	if (o == NULL) {
		if (s->now.count == OBJECTS_MAX)
			exit(2);
		o = &s->now.objects[s->now.count++];
		memset(o, 0, sizeof(*o));
		(void)snprintf(o->kind, sizeof(o->kind), "%s", kind);
		(void)snprintf(o->name, sizeof(o->name), "%s", name);
	}
	if (!o->is_deleted && o->spec != NULL && json_equal(o->spec, spec))
		return o;
	o->spec = json_incref(spec);
	o->is_deleted = 0;
	o->revision = ++s->now.revision;
	(void)pthread_cond_broadcast(&s->changed);
	return o;
}

static json_t *
object_json(const object_t *o)
{
	return json_pack("{s:{s:s,s:I,s:[],s:b},s:O}", "metadata", "name",
	    o->name, "revision", (json_int_t)o->revision, "finalizers",
	    "deleting", 0, "spec", o->spec);
}

static json_t *
events_json(store_t *s, const char *kind, uint64_t since)
{
	json_t *events = json_array();
	int i;

	for (i = 0; i < s->now.count; i++) {
		const object_t *o = &s->now.objects[i];

		if (strcmp(o->kind, kind) == 0 && o->revision > since)
			json_array_append_new(events,
			    json_pack("{s:o,s:b}", "object", object_json(o),
				"deleted", o->is_deleted));
	}
	return events;
}

static const char *
argument(const char *query, const char *name)
{
	size_t len = strlen(name);

	while (query != NULL && *query != '\0') {
		if (strncmp(query, name, len) == 0 && query[len] == '=')
			return query + len + 1;
		query = strchr(query, '&');
		if (query != NULL)
			query++;
	}
	return NULL;
}

/* The lock is held; it is released while the store is away. */
static void
await_return(store_t *s)
{
	uint64_t place = ++s->waiting;

	if (!s->is_away) {
		s->returned = s->waiting;
		return;
	}
	while (s->is_away)
		(void)pthread_cond_wait(&s->changed, &s->lock);
	place -= s->returned;
	(void)pthread_mutex_unlock(&s->lock);
	sleep_ms((uint32_t)place * ORDER_MS);
	(void)pthread_mutex_lock(&s->lock);
}

/* The lock is held; what cannot pass the gate waits for good. */
static void
pass_gate(store_t *s, const gate_t *gate)
{
	(void)pthread_mutex_unlock(&s->lock);
	while (gate->is_cut)
		sleep_ms(1000);
	(void)pthread_mutex_lock(&s->lock);
}

static void
store_answer(store_t *s, client_t *c, const char *status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	char headers[128];

	json_decref(body);
	(void)snprintf(headers, sizeof(headers),
	    "Content-Type: application/json\r\nStore-Era: %llu\r\n",
	    (unsigned long long)s->era);
	answer(c, status, headers, text);
	free(text);
}

/* The lock is held. What was not answered when the store went waits. */
static void
delay_answer(store_t *s)
{
	uint32_t ms = s->delay_ms;

	await_return(s);
	(void)pthread_mutex_unlock(&s->lock);
	sleep_ms(ms);
	(void)pthread_mutex_lock(&s->lock);
	if (s->is_away)
		await_return(s);
}

static void
answer_watch(store_t *s, const gate_t *gate, client_t *c, const char *kind,
    const char *query)
{
	uint64_t since = strtoull(argument(query, "watch"), NULL, 10);
	const char *wait = argument(query, "wait_ms");
	uint64_t due = now_ms() + (wait == NULL ? 0 : strtoul(wait, NULL, 10));
	uint64_t era = s->era;
	json_t *events;

	for (;;) {
		struct timespec until;
		char gone;

		if (s->is_away)
			await_return(s);
		if (era != s->era || since > s->now.revision) {
			store_answer(s, c, "410 Gone", json_object());
			return;
		}
		events = events_json(s, kind, since);
		if (json_array_size(events) > 0 || now_ms() >= due)
			break;
		json_decref(events);
		/* The caller may have closed. */
		if (recv(c->fd, &gone, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
			client_close(c);
			return;
		}
		(void)clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += 20000000L;
		if (until.tv_nsec >= 1000000000L) {
			until.tv_nsec -= 1000000000L;
			until.tv_sec++;
		}
		(void)pthread_cond_timedwait(&s->changed, &s->lock, &until);
	}
	pass_gate(s, gate);
	store_answer(s, c, "200 OK",
	    json_pack("{s:o,s:I}", "events", events, "as_of",
		(json_int_t)s->now.revision));
}

static void
answer_list(store_t *s, client_t *c, const char *kind)
{
	json_t *items = json_array();
	int i;

	for (i = 0; i < s->now.count; i++) {
		const object_t *o = &s->now.objects[i];

		if (strcmp(o->kind, kind) == 0 && !o->is_deleted)
			json_array_append_new(items, object_json(o));
	}
	store_answer(s, c, "200 OK",
	    json_pack("{s:o,s:b,s:I}", "items", items, "more", 0, "as_of",
		(json_int_t)s->now.revision));
}

static void
answer_write(store_t *s, client_t *c, const message_t *request,
    const char *kind, const char *name)
{
	json_t *root = json_loadb(request->body, request->len, 0, NULL);
	json_t *metadata = json_object_get(root, "metadata");
	json_t *expected = json_object_get(metadata, "revision");
	int is_create = name[0] == '\0';
	object_t *o;

	if (is_create)
		name = json_string_value(json_object_get(metadata, "name"));
	if (name == NULL) {
		store_answer(s, c, "400 Bad Request", json_object());
		json_decref(root);
		return;
	}
	o = find_object(&s->now, kind, name);
	if (o != NULL && o->is_deleted)
		o = NULL;
	if (!is_create && o == NULL) {
		store_answer(s, c, "404 Not Found", json_object());
	} else if (o != NULL &&
		   (is_create || (json_is_integer(expected) &&
				     (uint64_t)json_integer_value(expected) !=
					 o->revision))) {
		store_answer(s, c, "409 Conflict", object_json(o));
	} else {
		o = write_object(s, kind, name, json_object_get(root, "spec"));
		record("store: %s/%s written revision=%llu era=%llu %.90s",
		    kind, name, (unsigned long long)o->revision,
		    (unsigned long long)s->era, request->body);
		store_answer(
		    s, c, is_create ? "201 Created" : "200 OK", object_json(o));
	}
	json_decref(root);
}

static void
answer_delete(store_t *s, client_t *c, const char *kind, const char *name)
{
	object_t *o = find_object(&s->now, kind, name);

	if (o == NULL || o->is_deleted) {
		store_answer(s, c, "404 Not Found", json_object());
		return;
	}
	o->is_deleted = 1;
	o->revision = ++s->now.revision;
	(void)pthread_cond_broadcast(&s->changed);
	store_answer(s, c, "200 OK", json_object());
}

static void
serve_store(void *ctx, client_t *c, const message_t *request)
{
	gate_t *gate = ctx;
	store_t *s = gate->store;
	char method[16] = "";
	char path[1024] = "";
	char kind[48];
	char *query;
	char *name;
	object_t *o;

	(void)sscanf(request->start, "%15s %1023s", method, path);
	query = strchr(path, '?');
	if (query != NULL)
		*query++ = '\0';
	if (strncmp(path, "/objects/", 9) != 0) {
		answer(c, "404 Not Found", "", "");
		return;
	}
	(void)snprintf(kind, sizeof(kind), "%.47s", path + 9);
	name = strchr(kind, '/');
	name = name == NULL ? "" : path + 9 + (name - kind) + 1;
	kind[strcspn(kind, "/")] = '\0';
	(void)pthread_mutex_lock(&s->lock);
	pass_gate(s, gate);
	delay_answer(s);
	pass_gate(s, gate);
	if (strcmp(method, "GET") != 0 && strcmp(method, "DELETE") != 0) {
		answer_write(s, c, request, kind, name);
	} else if (strcmp(method, "DELETE") == 0) {
		answer_delete(s, c, kind, name);
	} else if (name[0] != '\0') {
		o = find_object(&s->now, kind, name);
		if (o == NULL || o->is_deleted)
			store_answer(s, c, "404 Not Found", json_object());
		else
			store_answer(s, c, "200 OK", object_json(o));
	} else if (argument(query, "watch") != NULL) {
		answer_watch(s, gate, c, kind, query);
	} else {
		answer_list(s, c, kind);
	}
	(void)pthread_mutex_unlock(&s->lock);
}

store_t *
store_start(void)
{
	store_t *s = calloc(1, sizeof(*s));

	s->now.revision = 100;
	s->era = 1;
	s->delay_ms = 4;
	(void)pthread_mutex_init(&s->lock, NULL);
	(void)pthread_cond_init(&s->changed, NULL);
	return s;
}

const char *
store_open(store_t *s, int number)
{
	gate_t *gate = &s->gates[number];

	gate->store = s;
	gate->service =
	    (service_t){listen_on(gate->address), serve_store, gate};
	start_thread(run_service, &gate->service);
	return gate->address;
}

void
store_cut(store_t *s, int number)
{
	s->gates[number].is_cut = 1;
	record("store: gate %d is cut", number);
}

void
store_put(store_t *s, const char *kind, const char *name, const char *spec)
{
	json_error_t error;
	json_t *value = json_loads(spec, 0, &error);

	if (value == NULL) {
		(void)fprintf(stderr, "%s/%s: %s\n", kind, name, error.text);
		exit(2);
	}
	(void)pthread_mutex_lock(&s->lock);
	(void)write_object(s, kind, name, value);
	(void)pthread_mutex_unlock(&s->lock);
}

void
store_set_delay(store_t *s, uint32_t ms)
{
	(void)pthread_mutex_lock(&s->lock);
	s->delay_ms = ms;
	(void)pthread_mutex_unlock(&s->lock);
	record("store: an answer takes %u ms", ms);
}

void
store_leave(store_t *s)
{
	(void)pthread_mutex_lock(&s->lock);
	s->is_away = 1;
	s->returned = s->waiting;
	(void)pthread_cond_broadcast(&s->changed);
	(void)pthread_mutex_unlock(&s->lock);
	record("store: away");
}

void
store_copy(store_t *s)
{
	(void)pthread_mutex_lock(&s->lock);
	s->copy = s->now;
	(void)pthread_mutex_unlock(&s->lock);
	record("store: copy taken revision=%llu",
	    (unsigned long long)s->copy.revision);
}

/* What the operator and the servers wrote since is written again. */
static void
write_again(store_t *s, const state_t *before)
{
	int i;

	for (i = 0; i < before->count; i++) {
		const object_t *o = &before->objects[i];

		if (!o->is_deleted && (strcmp(o->kind, "config") == 0 ||
					  strcmp(o->kind, "servers") == 0))
			(void)write_object(s, o->kind, o->name, o->spec);
	}
}

void
store_return(store_t *s, int from_copy)
{
	(void)pthread_mutex_lock(&s->lock);
	if (from_copy) {
		state_t *before = malloc(sizeof(*before));

		*before = s->now;
		s->now = s->copy;
		s->era++;
		write_again(s, before);
		free(before);
	}
	s->is_away = 0;
	record("store: back, Store-Era=%llu revision=%llu",
	    (unsigned long long)s->era, (unsigned long long)s->now.revision);
	(void)pthread_cond_broadcast(&s->changed);
	(void)pthread_mutex_unlock(&s->lock);
}

/* Servers */

struct server {
	server_spec_t spec;
	service_t service;
	char address[32];
	pthread_mutex_t lock;
	uint32_t running;
	uint32_t orders;
	uint64_t born_ms;
};

void (*server_on_run)(const server_t *server, const message_t *request);
int (*server_is_reset)(const server_t *server, const char *id);
uint32_t (*server_events_of)(const message_t *request);

const char *
server_id(const server_t *v)
{
	return v->spec.id;
}

static void
reset_connection(client_t *c)
{
	struct linger hard = {1, 0};

	(void)setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
	client_close(c);
}

static void
models_json(const server_t *v, char *text, size_t size)
{
	if (v->spec.model == NULL)
		(void)snprintf(text, size, "[]");
	else
		(void)snprintf(text, size,
		    "[{\"name\":\"%s\",\"version\":1,\"adapters\":[]}]",
		    v->spec.model);
}

static void
serve_report(server_t *v, client_t *c)
{
	char models[256];
	char body[1024];

	models_json(v, models, sizeof(models));
	(void)snprintf(body, sizeof(body),
	    "{\"phase\":\"both\",\"models\":%s,\"busy\":false,\"sequence\":%u,"
	    "\"queued\":0,\"active\":%u,\"kv_used\":0,\"kv_total\":149759,"
	    "\"handles\":0,\"born\":%llu}",
	    models, v->orders, v->running, (unsigned long long)v->born_ms);
	answer(c, "200 OK", "Content-Type: application/json\r\n", body);
}

static void
serve_stream(server_t *v, client_t *c, const message_t *request)
{
	const char *after = message_header(request, "Last-Event-Id");
	const char *id = message_header(request, "X-Attempt-Id");
	uint32_t k = after == NULL ? 0 : (uint32_t)strtoul(after, NULL, 10);
	uint32_t events = server_events_of(request);
	char text[1024];
	int n = snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "X-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\n"
	    "X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	    id, v->spec.id);

	(void)client_send(c, text, (size_t)n);
	for (k++; k <= events && c->fd >= 0; k++) {
		char event[128];
		int len =
		    snprintf(event, sizeof(event), "id: %u\ndata: %s %s %u\n\n",
			k, v->spec.version, v->spec.id, k);
		char gone;

		n = snprintf(
		    text, sizeof(text), "%x\r\n%s\r\n", (unsigned)len, event);
		if (client_send(c, text, (size_t)n) != 0 ||
		    recv(c->fd, &gone, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
			client_close(c);
		sleep_ms(v->spec.event_ms);
		if (c->fd >= 0 && server_is_reset != NULL &&
		    server_is_reset(v, id))
			reset_connection(c);
	}
	if (c->fd >= 0)
		(void)client_send(c, "0\r\n\r\n", 5);
}

static void
serve_plain(server_t *v, client_t *c, const message_t *request)
{
	const char *id = message_header(request, "X-Attempt-Id");
	char headers[512];

	sleep_ms(v->spec.work_ms);
	(void)snprintf(headers, sizeof(headers),
	    "X-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\n", id, v->spec.id);
	answer(c, "200 OK", headers, "done");
}

static void
serve_server(void *ctx, client_t *c, const message_t *request)
{
	server_t *v = ctx;
	const char *id = message_header(request, "X-Attempt-Id");
	const char *expected = message_header(request, "X-Expect-Instance");
	char headers[256];

	if (strncmp(request->start, "GET /report", 11) == 0) {
		serve_report(v, c);
		return;
	}
	if (expected != NULL && strcmp(expected, v->spec.id) != 0) {
		answer(c, "421 Misdirected Request", "", "");
		return;
	}
	if (strncmp(request->start, "POST /order", 11) == 0) {
		v->orders++;
		answer(c, "200 OK", "", "");
		return;
	}
	if (id == NULL) {
		answer(c, "400 Bad Request", "X-Not-Executed: 1\r\n", "");
		return;
	}
	(void)pthread_mutex_lock(&v->lock);
	if (v->running >= v->spec.slots * 4) {
		(void)pthread_mutex_unlock(&v->lock);
		(void)snprintf(headers, sizeof(headers),
		    "X-Not-Executed: 1\r\nX-Attempt-Id: %s\r\n", id);
		answer(c, "503 Service Unavailable", headers, "");
		return;
	}
	v->running++;
	(void)pthread_mutex_unlock(&v->lock);
	if (server_on_run != NULL)
		server_on_run(v, request);
	if (v->spec.event_ms != 0)
		serve_stream(v, c, request);
	else
		serve_plain(v, c, request);
	(void)pthread_mutex_lock(&v->lock);
	v->running--;
	(void)pthread_mutex_unlock(&v->lock);
}

server_t *
server_start(const server_spec_t *spec)
{
	server_t *v = calloc(1, sizeof(*v));

	v->spec = *spec;
	v->born_ms = (uint64_t)time(NULL) * 1000u;
	(void)pthread_mutex_init(&v->lock, NULL);
	v->service = (service_t){listen_on(v->address), serve_server, v};
	start_thread(run_service, &v->service);
	return v;
}

void
server_list(store_t *store, server_t *v)
{
	char models[256];
	char spec[1024];

	models_json(v, models, sizeof(models));
	(void)snprintf(spec, sizeof(spec),
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
	    "\"version\":\"%s\",\"slots\":%u,\"state\":\"ready\","
	    "\"sequence\":1,\"born\":%llu,\"phase\":\"both\",\"models\":%s}",
	    v->spec.service, v->address, v->spec.zone, v->spec.version,
	    v->spec.slots, (unsigned long long)v->born_ms, models);
	store_put(store, "servers", v->spec.id, spec);
}

/* Instances */

static char folder[256];

const char *
world_folder(void)
{
	if (folder[0] == '\0') {
		const char *base = getenv("TMPDIR");

		(void)snprintf(folder, sizeof(folder), "%s/review2.XXXXXX",
		    base == NULL ? "/tmp" : base);
		if (mkdtemp(folder) == NULL) {
			perror(folder);
			exit(2);
		}
	}
	return folder;
}

/* The settings of deploy/entry.conf, as the platform fills them in. */
void
instance_add(instance_t *instance, const char *in, const char *name,
    const char *zone, const char *store)
{
	FILE *f;

	memset(instance, 0, sizeof(*instance));
	(void)snprintf(instance->name, sizeof(instance->name), "%s", name);
	(void)snprintf(instance->zone, sizeof(instance->zone), "%s", zone);
	(void)snprintf(instance->listen, sizeof(instance->listen),
	    "127.0.0.1:%u", free_port());
	(void)snprintf(instance->ready, sizeof(instance->ready), "127.0.0.1:%u",
	    free_port());
	(void)snprintf(
	    instance->conf, sizeof(instance->conf), "%s/%s.conf", in, name);
	(void)snprintf(
	    instance->log, sizeof(instance->log), "%s/%s.log", in, name);
	f = fopen(instance->conf, "w");
	if (f == NULL)
		exit(2);
	(void)fprintf(f,
	    "name=%s\ndata-centre=%s\nlisten=%s\nready=%s\nmetrics="
	    "127.0.0.1:%u\npeers=127.0.0.1:%u\nstore=%s\nseeds=\n"
	    "stop-grace-s=8\nlease-ms=3000\ndrain-ms=2000\n"
	    "config-apply-ms=2000\nretry-ratio=0.2\nretry-slack=58\n"
	    "processor-share=0.25\ncores=1\nlink-mbps=1000.0\n"
	    "descriptors=4100\nevacuate-ms=\n"
	    "regions=muscat-a:muscat,muscat-b:muscat,muscat-c:muscat\n"
	    "cold-overage=\ncold-tolerance=\nmemory-mb=260\n",
	    name, zone, instance->listen, instance->ready, free_port(),
	    free_port(), store);
	(void)fclose(f);
}

void
instance_start(instance_t *instance)
{
	instance->started_ms = now_ms();
	instance->ended = 0;
	instance->pid = fork();
	if (instance->pid == 0) {
		FILE *log = freopen(instance->log, "a", stdout);

		if (log == NULL || dup2(1, 2) < 0)
			_exit(127);
		(void)setenv("ALMONDTHREAD_NODE_FILE", instance->conf, 1);
		(void)setenv("ALMONDTHREAD_SECRET",
		    "000000000000000000000000000000000000000000000000000000000"
		    "00000a1",
		    1);
		(void)execl("target/bin/almond-entry",
		    "target/bin/almond-entry", (char *)NULL);
		_exit(127);
	}
	record("instance %s: started", instance->name);
}

void
instance_signal(const instance_t *instance, int number)
{
	if (instance->pid > 0)
		(void)kill(instance->pid, number);
	record("instance %s: signal %d", instance->name, number);
}

int
instance_wait(instance_t *instance, uint32_t wait_ms)
{
	uint64_t until = now_ms() + wait_ms;
	int status;

	if (instance->pid <= 0)
		return 1;
	for (;;) {
		if (waitpid(instance->pid, &status, WNOHANG) == instance->pid) {
			instance->pid = 0;
			instance->ended = status + 1;
			record("instance %s: ended %s %d", instance->name,
			    WIFSIGNALED(status) ? "by signal" : "with status",
			    WIFSIGNALED(status) ? WTERMSIG(status)
						: WEXITSTATUS(status));
			return 1;
		}
		if (now_ms() >= until)
			return 0;
		sleep_ms(2);
	}
}

int
instance_is_ready(const instance_t *instance)
{
	static const char text[] =
	    "GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n";
	client_t *c = malloc(sizeof(*c));
	message_t *m = calloc(1, sizeof(*m));
	int is_ready = 0;

	if (client_connect(c, instance->ready) == 0) {
		is_ready = client_send(c, text, sizeof(text) - 1) == 0 &&
			   client_read(c, m, 1000) == 0 && status_of(m) == 200;
		client_close(c);
	}
	message_clear(m);
	free(m);
	free(c);
	return is_ready;
}

int
instance_await_ready(const instance_t *instance, uint32_t wait_ms)
{
	uint64_t until = now_ms() + wait_ms;

	while (!instance_is_ready(instance)) {
		if (now_ms() >= until)
			return -1;
		sleep_ms(10);
	}
	record("instance %s: ready", instance->name);
	return 0;
}

void
world_end(instance_t *instances, int count)
{
	char command[300];
	int i;

	for (i = 0; i < count; i++) {
		if (instances[i].pid > 0) {
			(void)kill(instances[i].pid, SIGCONT);
			(void)kill(instances[i].pid, SIGKILL);
			(void)waitpid(instances[i].pid, NULL, 0);
		}
	}
	if (getenv("KEEP") != NULL)
		(void)fprintf(stderr, "logs: %s\n", folder);
	else if (folder[0] != '\0') {
		(void)snprintf(command, sizeof(command), "rm -rf '%s'", folder);
		if (system(command) != 0)
			perror("rm");
	}
}
