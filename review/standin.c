/* standin.c - see standin.h. */
#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

#define TIME_LIMIT_S 115u /* of a whole case */
#define READY_LIMIT_MS 15000u
#define EVENTS_MAX 65536u
#define HEARTBEAT_MS 1200u
#define ENTRIES_MAX 8u
#define SECRET \
	"00000000000000000000000000000000000000000000000000000000000000a1"

static FILE *record_file;
static char work_folder[64];
static uint64_t started_ms;
static entry_t entries[ENTRIES_MAX];
static size_t entry_count;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;

uint64_t
now_ms(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000u + (uint64_t)now.tv_nsec / 1000000u;
}

void
sleep_ms(uint32_t ms)
{
	struct timespec time = {ms / 1000u, (long)(ms % 1000u) * 1000000L};

	(void)nanosleep(&time, NULL);
}

void
record(const char *format, ...)
{
	va_list args;
	uint64_t at_ms = now_ms() - started_ms;

	(void)pthread_mutex_lock(&record_mutex);
	(void)fprintf(record_file, "%3llu.%03llu s  ",
	    (unsigned long long)(at_ms / 1000u),
	    (unsigned long long)(at_ms % 1000u));
	va_start(args, format);
	(void)vfprintf(record_file, format, args);
	va_end(args);
	(void)fputc('\n', record_file);
	(void)fflush(record_file);
	(void)pthread_mutex_unlock(&record_mutex);
}

static void
start_thread(void *(*run)(void *ctx), void *ctx)
{
	pthread_attr_t attr;
	pthread_t thread;

	(void)pthread_attr_init(&attr);
	(void)pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	(void)pthread_attr_setstacksize(&attr, 256u << 10);
	if (pthread_create(&thread, &attr, run, ctx) != 0) {
		record("not run: no thread");
		standin_end(EXIT_NOT_RUN);
	}
	(void)pthread_attr_destroy(&attr);
}

static void *
watch_time(void *ctx)
{
	(void)ctx;
	sleep_ms(TIME_LIMIT_S * 1000u);
	record("not run: it took too long");
	standin_end(EXIT_NOT_RUN);
}

static void
on_signal(int number)
{
	size_t i;

	(void)number;
	for (i = 0; i < entry_count; i++)
		(void)kill(entries[i].pid, SIGKILL);
	_exit(EXIT_NOT_RUN);
}

void
standin_init(const char *folder)
{
	char path[512];

	started_ms = now_ms();
	(void)snprintf(path, sizeof(path), "%s/record.txt", folder);
	record_file = fopen(path, "w");
	(void)snprintf(work_folder, sizeof(work_folder), "/tmp/review-XXXXXX");
	if (record_file == NULL || mkdtemp(work_folder) == NULL)
		exit(EXIT_NOT_RUN);
	(void)signal(SIGPIPE, SIG_IGN);
	(void)signal(SIGTERM, on_signal);
	(void)signal(SIGINT, on_signal);
	start_thread(watch_time, NULL);
}

_Noreturn void
standin_end(int code)
{
	char command[128];
	size_t i;

	for (i = 0; i < entry_count; i++) {
		(void)kill(entries[i].pid, SIGKILL);
		(void)waitpid(entries[i].pid, NULL, 0);
	}
	(void)snprintf(command, sizeof(command), "rm -rf %s", work_folder);
	if (system(command) != 0)
		record("folder not removed: %s", work_folder);
	record("exit status %d", code);
	_exit(code);
}

int
standin_has_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

/* Messages */

static int
conn_fill(conn_t *conn)
{
	ssize_t got;

	if (conn->size - conn->len < 65536u) {
		size_t size = conn->size * 2u + 131072u;
		char *data = realloc(conn->data, size + 1);

		if (data == NULL)
			return -1;
		conn->data = data;
		conn->size = size;
	}
	do {
		got = recv(conn->fd, conn->data + conn->len,
		    conn->size - conn->len, 0);
	} while (got < 0 && errno == EINTR);
	if (got <= 0)
		return -1;
	conn->len += (size_t)got;
	conn->data[conn->len] = '\0';
	return 0;
}

static char *
conn_take(conn_t *conn, size_t len)
{
	char *taken = malloc(len + 1);

	while (conn->len < len) {
		if (conn_fill(conn) != 0) {
			free(taken);
			return NULL;
		}
	}
	memcpy(taken, conn->data, len);
	taken[len] = '\0';
	memmove(conn->data, conn->data + len, conn->len - len);
	conn->len -= len;
	return taken;
}

/* Returns the length up to the end of the first text, or 0 at the end. */
static size_t
conn_find(conn_t *conn, const char *text)
{
	for (;;) {
		char *found = conn->len == 0 ? NULL
					     : memmem(conn->data, conn->len,
						   text, strlen(text));

		if (found != NULL)
			return (size_t)(found - conn->data) + strlen(text);
		if (conn_fill(conn) != 0)
			return 0;
	}
}

char *
message_header(
    const message_t *message, const char *name, char *out, size_t size)
{
	const char *line = strstr(message->head, "\r\n");
	size_t len = strlen(name);

	while (line != NULL && line[2] != '\r') {
		const char *end = strstr(line + 2, "\r\n");

		line += 2;
		if (end != NULL && strncasecmp(line, name, len) == 0 &&
		    line[len] == ':') {
			line += len + 1;
			while (*line == ' ')
				line++;
			(void)snprintf(
			    out, size, "%.*s", (int)(end - line), line);
			return out;
		}
		line = end;
	}
	return NULL;
}

static int
read_chunks(conn_t *conn, message_t *message)
{
	for (;;) {
		size_t len = conn_find(conn, "\r\n");
		char *line = len == 0 ? NULL : conn_take(conn, len);
		size_t size = line == NULL ? 0 : strtoul(line, NULL, 16);
		char *chunk;

		free(line);
		if (len == 0)
			return -1;
		chunk = conn_take(conn, size + 2);
		if (chunk == NULL)
			return -1;
		if (size == 0) {
			free(chunk);
			return 0;
		}
		message->body =
		    realloc(message->body, message->body_len + size + 1);
		memcpy(message->body + message->body_len, chunk, size);
		message->body_len += size;
		message->body[message->body_len] = '\0';
		free(chunk);
	}
}

int
message_read(conn_t *conn, message_t *message)
{
	size_t len;
	char text[64];

	memset(message, 0, sizeof(*message));
	len = conn_find(conn, "\r\n\r\n");
	message->head = len == 0 ? NULL : conn_take(conn, len);
	if (message->head == NULL)
		return -1;
	if (strncmp(message->head, "HTTP/1.1 ", 9) == 0)
		message->status = atoi(message->head + 9);
	else
		(void)sscanf(message->head, "%31s %1023s", message->method,
		    message->target);
	if (message_header(message, "Transfer-Encoding", text, sizeof(text)) !=
	    NULL)
		return read_chunks(conn, message);
	if (message_header(message, "Content-Length", text, sizeof(text)) ==
	    NULL)
		return 0;
	message->body_len = strtoul(text, NULL, 10);
	message->body = conn_take(conn, message->body_len);
	return message->body == NULL ? -1 : 0;
}

void
message_free(message_t *message)
{
	free(message->head);
	free(message->body);
	memset(message, 0, sizeof(*message));
}

int
send_all(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t sent = send(fd, at, len, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return -1;
		at += sent;
		len -= (size_t)sent;
	}
	return 0;
}

int
send_text(int fd, const char *format, ...)
{
	char *text = NULL;
	va_list args;
	int len;
	int result;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	if (len < 0)
		return -1;
	result = send_all(fd, text, (size_t)len);
	free(text);
	return result;
}

static struct sockaddr_in
loopback(uint16_t port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};

	addr.sin_port = htons(port);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return addr;
}

int
connect_to(uint16_t port)
{
	struct sockaddr_in addr = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd >= 0 &&
	    connect(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0) {
		(void)close(fd);
		return -1;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

void
conn_close(conn_t *conn)
{
	if (conn->fd >= 0)
		(void)close(conn->fd);
	free(conn->data);
	memset(conn, 0, sizeof(*conn));
	conn->fd = -1;
}

/* Listens on a port, or on a free one if it is 0. */
static int
listen_on(uint16_t *port)
{
	struct sockaddr_in addr = loopback(*port);
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&addr, &len) != 0) {
		(void)close(fd);
		return -1;
	}
	*port = ntohs(addr.sin_port);
	return fd;
}

/* The store */

/* A change; the last one of an object is its state. */
typedef struct event {
	uint64_t revision;
	uint64_t created;
	char kind[64];
	char name[128];
	char *spec; /* NULL: deleted */
} event_t;

static struct {
	event_t events[EVENTS_MAX];
	size_t count;
	uint64_t revision;
	uint64_t era;
	size_t copy_count;
	uint64_t copy_revision;
	int is_away;
	uint16_t port;
	pthread_mutex_t mutex;
	pthread_cond_t changed;
} store = {.mutex = PTHREAD_MUTEX_INITIALIZER,
    .changed = PTHREAD_COND_INITIALIZER,
    .revision = 100u};

/* Returns the last change of an object, or NULL. */
static event_t *
find_last(const char *kind, const char *name)
{
	size_t i;

	for (i = store.count; i > 0; i--) {
		event_t *event = &store.events[i - 1];

		if (strcmp(event->kind, kind) == 0 &&
		    strcmp(event->name, name) == 0)
			return event;
	}
	return NULL;
}

static event_t *
find_object(const char *kind, const char *name)
{
	event_t *event = find_last(kind, name);

	return event == NULL || event->spec == NULL ? NULL : event;
}

static event_t *
add_event(const char *kind, const char *name, const char *spec)
{
	event_t *before = find_object(kind, name);
	event_t *event;

	if (store.count == EVENTS_MAX) {
		record("not run: too many changes");
		standin_end(EXIT_NOT_RUN);
	}
	event = &store.events[store.count++];
	memset(event, 0, sizeof(*event));
	event->revision = ++store.revision;
	event->created = before == NULL ? event->revision : before->created;
	(void)snprintf(event->kind, sizeof(event->kind), "%s", kind);
	(void)snprintf(event->name, sizeof(event->name), "%s", name);
	event->spec = spec == NULL ? NULL : strdup(spec);
	(void)pthread_cond_broadcast(&store.changed);
	return event;
}

static char *
object_text(const event_t *event)
{
	char *text = NULL;

	(void)asprintf(&text,
	    "{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,"
	    "\"created\":%llu,\"finalizers\":[],\"deleting\":false},"
	    "\"spec\":%s,\"status\":null}",
	    event->name, (unsigned long long)event->revision,
	    (unsigned long long)event->created,
	    event->spec == NULL ? "null" : event->spec);
	return text;
}

static void
append(char **text, const char *more)
{
	size_t len = *text == NULL ? 0 : strlen(*text);

	*text = realloc(*text, len + strlen(more) + 1);
	memcpy(*text + len, more, strlen(more) + 1);
}

static char *
list_text(const char *kind)
{
	char *text = NULL;
	char end[64];
	size_t i;
	int has_any = 0;

	append(&text, "{\"items\":[");
	for (i = 0; i < store.count; i++) {
		const event_t *event = &store.events[i];
		char *object;

		if (strcmp(event->kind, kind) != 0 || event->spec == NULL ||
		    find_last(kind, event->name) != event)
			continue;
		object = object_text(event);
		append(&text, has_any ? "," : "");
		append(&text, object);
		free(object);
		has_any = 1;
	}
	(void)snprintf(end, sizeof(end), "],\"more\":false,\"as_of\":%llu}",
	    (unsigned long long)store.revision);
	append(&text, end);
	return text;
}

/* Returns NULL if there are no changes. */
static char *
changes_text(const char *kind, uint64_t since)
{
	char *text = NULL;
	char end[64];
	size_t i;
	int has_any = 0;

	append(&text, "{\"events\":[");
	for (i = 0; i < store.count; i++) {
		const event_t *event = &store.events[i];
		char *object;

		if (strcmp(event->kind, kind) != 0 || event->revision <= since)
			continue;
		object = object_text(event);
		append(&text, has_any ? ",{\"object\":" : "{\"object\":");
		append(&text, object);
		append(&text, event->spec == NULL ? ",\"deleted\":true}"
						  : ",\"deleted\":false}");
		free(object);
		has_any = 1;
	}
	if (!has_any) {
		free(text);
		return NULL;
	}
	(void)snprintf(end, sizeof(end), "],\"as_of\":%llu}",
	    (unsigned long long)store.revision);
	append(&text, end);
	return text;
}

static int
reply_store(int fd, int status, uint64_t era, const char *text)
{
	char stated[48] = "";

	if (era != 0)
		(void)snprintf(stated, sizeof(stated), "Store-Era: %llu\r\n",
		    (unsigned long long)era);
	return send_text(fd,
	    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n%s"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, stated, strlen(text), text);
}

static int
watch(int fd, const char *kind, uint64_t since, uint64_t wait_ms)
{
	uint64_t end_ms = now_ms() + wait_ms;
	uint64_t era = store.era;
	char *text = NULL;
	int result;

	if (since > store.revision)
		return reply_store(fd, 410, era, "{}");
	while ((text = changes_text(kind, since)) == NULL &&
	       now_ms() < end_ms && store.era == era && !store.is_away) {
		struct timespec due;

		(void)clock_gettime(CLOCK_REALTIME, &due);
		due.tv_nsec += 10000000L;
		if (due.tv_nsec >= 1000000000L) {
			due.tv_sec++;
			due.tv_nsec -= 1000000000L;
		}
		(void)pthread_cond_timedwait(
		    &store.changed, &store.mutex, &due);
	}
	if (store.era != era || store.is_away) {
		free(text);
		return -1;
	}
	if (text == NULL)
		(void)asprintf(&text, "{\"events\":[],\"as_of\":%llu}",
		    (unsigned long long)store.revision);
	result = reply_store(fd, 200, era, text);
	free(text);
	return result;
}

static int
write_object(
    int fd, const message_t *request, const char *kind, const char *name)
{
	json_t *root = json_loadb(request->body, request->body_len, 0, NULL);
	json_t *metadata = json_object_get(root, "metadata");
	json_t *revision = json_object_get(metadata, "revision");
	char *spec = json_dumps(
	    json_object_get(root, "spec"), JSON_COMPACT | JSON_ENCODE_ANY);
	int is_create = name == NULL;
	event_t *event;
	char *text;
	int status = 200;
	int result;

	if (is_create)
		name = json_string_value(json_object_get(metadata, "name"));
	event = find_object(kind, name);
	if (!is_create && event == NULL)
		status = 404;
	else if (event != NULL &&
		 (is_create || (json_is_integer(revision) &&
				   (uint64_t)json_integer_value(revision) !=
				       event->revision)))
		status = 409;
	else if (event == NULL || strcmp(event->spec, spec) != 0)
		event = add_event(kind, name, spec);
	text = event == NULL ? strdup("{}") : object_text(event);
	result = reply_store(fd, status, store.era, text);
	free(text);
	free(spec);
	json_decref(root);
	return result;
}

static int
handle_store(int fd, const message_t *request)
{
	char path[1024];
	char *query;
	char *name;
	char *kind = path + strlen("/objects/");
	char *text;
	const event_t *event;
	int result;

	(void)snprintf(path, sizeof(path), "%s", request->target);
	if (strncmp(path, "/objects/", strlen("/objects/")) != 0)
		return reply_store(fd, 404, store.era, "{}");
	query = strchr(path, '?');
	if (query != NULL)
		*query++ = '\0';
	name = strchr(kind, '/');
	if (name != NULL)
		*name++ = '\0';
	if (strcmp(request->method, "POST") == 0 ||
	    strcmp(request->method, "PUT") == 0)
		return write_object(fd, request, kind, name);
	if (name == NULL) {
		const char *since =
		    query == NULL ? NULL : strstr(query, "watch=");
		const char *wait =
		    query == NULL ? NULL : strstr(query, "wait_ms=");

		if (since != NULL)
			return watch(fd, kind, strtoull(since + 6, NULL, 10),
			    wait == NULL ? 0 : strtoull(wait + 8, NULL, 10));
		text = list_text(kind);
		result = reply_store(fd, 200, store.era, text);
		free(text);
		return result;
	}
	event = find_object(kind, name);
	if (event == NULL)
		return reply_store(fd, 404, store.era, "{}");
	text = object_text(event);
	if (strcmp(request->method, "DELETE") == 0) {
		const char *stated =
		    query == NULL ? NULL : strstr(query, "revision=");

		if (stated != NULL &&
		    strtoull(stated + 9, NULL, 10) != event->revision)
			result = reply_store(fd, 409, store.era, text);
		else {
			(void)add_event(kind, name, NULL);
			result = reply_store(fd, 200, store.era, text);
		}
	} else {
		result = reply_store(fd, 200, store.era, text);
	}
	free(text);
	return result;
}

static void *
serve_store(void *ctx)
{
	conn_t conn = {.fd = (int)(intptr_t)ctx};
	message_t request;

	while (message_read(&conn, &request) == 0) {
		int result = -1;

		(void)pthread_mutex_lock(&store.mutex);
		if (!store.is_away)
			result = handle_store(conn.fd, &request);
		(void)pthread_mutex_unlock(&store.mutex);
		message_free(&request);
		if (result != 0)
			break;
	}
	conn_close(&conn);
	return NULL;
}

static void *
accept_store(void *ctx)
{
	int listen_fd = (int)(intptr_t)ctx;

	for (;;) {
		int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0)
			return NULL;
		start_thread(serve_store, (void *)(intptr_t)fd);
	}
}

void
store_start(uint64_t era)
{
	int fd = listen_on(&store.port);

	if (fd < 0)
		standin_end(EXIT_NOT_RUN);
	store.era = era;
	start_thread(accept_store, (void *)(intptr_t)fd);
}

void
store_put(const char *kind, const char *name, const char *spec)
{
	(void)pthread_mutex_lock(&store.mutex);
	if (!store.is_away)
		(void)add_event(kind, name, spec);
	(void)pthread_mutex_unlock(&store.mutex);
}

void
store_delete(const char *kind, const char *name)
{
	(void)pthread_mutex_lock(&store.mutex);
	if (find_object(kind, name) != NULL)
		(void)add_event(kind, name, NULL);
	(void)pthread_mutex_unlock(&store.mutex);
}

void
store_copy(void)
{
	(void)pthread_mutex_lock(&store.mutex);
	store.copy_count = store.count;
	store.copy_revision = store.revision;
	(void)pthread_mutex_unlock(&store.mutex);
}

void
store_restore(uint32_t away_ms)
{
	(void)pthread_mutex_lock(&store.mutex);
	store.is_away = 1;
	(void)pthread_cond_broadcast(&store.changed);
	(void)pthread_mutex_unlock(&store.mutex);
	sleep_ms(away_ms);
	(void)pthread_mutex_lock(&store.mutex);
	store.is_away = 0;
	store.count = store.copy_count;
	store.revision = store.copy_revision;
	store.era++;
	(void)pthread_mutex_unlock(&store.mutex);
}

uint64_t
store_revision(void)
{
	uint64_t revision;

	(void)pthread_mutex_lock(&store.mutex);
	revision = store.revision;
	(void)pthread_mutex_unlock(&store.mutex);
	return revision;
}

/* Servers */

static void
list_server(server_t *server)
{
	char spec[1024];

	(void)snprintf(spec, sizeof(spec),
	    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":"
	    "\"muscat-a\",\"version\":\"%s\",\"slots\":%u,\"state\":\"ready\","
	    "\"cold_remaining_ms\":0,\"phase\":\"both\",\"models\":%s,"
	    "\"sequence\":%llu,\"born\":%llu}",
	    server->service, server->port, server->version, server->slots,
	    server->models, (unsigned long long)++server->sequence,
	    (unsigned long long)server->born);
	store_put("servers", server->id, spec);
}

typedef struct served {
	server_t *server;
	int fd;
} served_t;

static int
add_fd(server_t *server, int fd)
{
	size_t i;
	int result = -1;

	(void)pthread_mutex_lock(&server->mutex);
	for (i = 0; i < 1024u && server->is_up && result != 0; i++) {
		if (server->fds[i] == 0) {
			server->fds[i] = fd;
			result = 0;
		}
	}
	(void)pthread_mutex_unlock(&server->mutex);
	return result;
}

static void
remove_fd(server_t *server, int fd)
{
	size_t i;

	(void)pthread_mutex_lock(&server->mutex);
	for (i = 0; i < 1024u; i++) {
		if (server->fds[i] == fd)
			server->fds[i] = 0;
	}
	(void)pthread_mutex_unlock(&server->mutex);
}

/* An engine's report; an order for what it holds already holds. */
static int
handle_engine_call(const server_t *server, int fd, const message_t *request)
{
	char body[1024];

	if (strcmp(request->target, "/report") != 0)
		return send_text(
		    fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
	(void)snprintf(body, sizeof(body),
	    "{\"phase\":\"both\",\"models\":%s,\"busy\":false,\"sequence\":0,"
	    "\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":149759,"
	    "\"handles\":0,\"born\":%llu}",
	    server->models, (unsigned long long)server->born);
	return send_text(fd,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
}

static int
handle_request(server_t *server, conn_t *conn, const message_t *request)
{
	char text[128];

	if (strcmp(request->target, "/report") == 0 ||
	    strcmp(request->target, "/order") == 0)
		return handle_engine_call(server, conn->fd, request);
	if (message_header(request, "X-Expect-Instance", text, sizeof(text)) !=
		NULL &&
	    strcmp(text, server->id) != 0)
		return send_text(conn->fd,
		    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\n"
		    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		    server->id);
	return server->handler(server, conn, request);
}

static void *
serve_server(void *ctx)
{
	served_t *served = ctx;
	server_t *server = served->server;
	conn_t conn = {.fd = served->fd};
	message_t request;

	free(served);
	while (message_read(&conn, &request) == 0) {
		int result = handle_request(server, &conn, &request);

		message_free(&request);
		if (result != 0)
			break;
	}
	remove_fd(server, conn.fd);
	conn_close(&conn);
	return NULL;
}

static void *
accept_server(void *ctx)
{
	server_t *server = ctx;
	int listen_fd = server->listen_fd;

	for (;;) {
		int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
		int one = 1;
		served_t *served;

		if (fd < 0)
			return NULL;
		(void)setsockopt(
		    fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (add_fd(server, fd) != 0) {
			(void)close(fd);
			continue;
		}
		served = calloc(1, sizeof(*served));
		served->server = server;
		served->fd = fd;
		start_thread(serve_server, served);
	}
}

static uint64_t
wall_ms(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000u + (uint64_t)now.tv_nsec / 1000000u;
}

/* A server writes its entry about every 1.2 s. */
static void *
run_heartbeat(void *ctx)
{
	server_t *server = ctx;

	for (;;) {
		sleep_ms(HEARTBEAT_MS);
		(void)pthread_mutex_lock(&server->mutex);
		if (server->is_up)
			list_server(server);
		(void)pthread_mutex_unlock(&server->mutex);
	}
	return NULL;
}

static void
server_listen(server_t *server)
{
	server->listen_fd = listen_on(&server->port);
	if (server->listen_fd < 0) {
		record("not run: %s cannot listen", server->id);
		standin_end(EXIT_NOT_RUN);
	}
	server->born = wall_ms();
	server->sequence = 0;
	server->is_up = 1;
	start_thread(accept_server, server);
	list_server(server);
}

server_t *
server_start(const char *id, const char *service, const char *models,
    uint32_t slots, server_handler_t handler, void *ctx)
{
	server_t *server = calloc(1, sizeof(*server));

	(void)snprintf(server->id, sizeof(server->id), "%s", id);
	(void)snprintf(server->service, sizeof(server->service), "%s", service);
	(void)snprintf(server->version, sizeof(server->version), "v1");
	(void)snprintf(server->models, sizeof(server->models), "%s", models);
	server->slots = slots;
	server->handler = handler;
	server->ctx = ctx;
	(void)pthread_mutex_init(&server->mutex, NULL);
	server_listen(server);
	start_thread(run_heartbeat, server);
	return server;
}

typedef struct restart {
	server_t *server;
	uint32_t back_ms;
} restart_t;

static void *
run_restart(void *ctx)
{
	restart_t *restart = ctx;

	sleep_ms(restart->back_ms);
	server_listen(restart->server);
	record("server %s is back", restart->server->id);
	free(restart);
	return NULL;
}

void
server_crash(server_t *server, uint32_t back_ms)
{
	const struct linger reset = {1, 0};
	restart_t *restart;
	size_t i;

	(void)pthread_mutex_lock(&server->mutex);
	if (!server->is_up) {
		(void)pthread_mutex_unlock(&server->mutex);
		return;
	}
	server->is_up = 0;
	(void)shutdown(server->listen_fd, SHUT_RDWR);
	(void)close(server->listen_fd);
	for (i = 0; i < 1024u; i++) {
		if (server->fds[i] == 0)
			continue;
		(void)setsockopt(server->fds[i], SOL_SOCKET, SO_LINGER, &reset,
		    sizeof(reset));
		/* The thread of the connection closes it, with a reset. */
		(void)shutdown(server->fds[i], SHUT_RD);
	}
	(void)pthread_mutex_unlock(&server->mutex);
	record("server %s crashes", server->id);
	restart = calloc(1, sizeof(*restart));
	restart->server = server;
	restart->back_ms = back_ms;
	start_thread(run_restart, restart);
}

/* Processes of almond-entry */

/* Returns the first of four ports that are free. */
static uint16_t
free_ports(void)
{
	uint16_t first;
	int tries;

	for (tries = 0; tries < 200; tries++) {
		int fds[4];
		int i;
		int found = 1;

		first = (uint16_t)(20000u + (unsigned)(rand() % 8000) * 4u);
		for (i = 0; i < 4; i++) {
			uint16_t port = (uint16_t)(first + i);

			fds[i] = listen_on(&port);
			found &= fds[i] >= 0;
		}
		for (i = 0; i < 4; i++)
			(void)close(fds[i]);
		if (found)
			return first;
	}
	record("not run: no free ports");
	standin_end(EXIT_NOT_RUN);
}

/* deploy/entry.conf, filled in as for a machine of a small deployment. */
static void
write_settings(
    const char *path, const char *name, const char *zone, uint16_t first_port)
{
	FILE *file = fopen(path, "w");

	if (file == NULL)
		standin_end(EXIT_NOT_RUN);
	(void)fprintf(file,
	    "name=%s\ndata-centre=%s\nlisten=127.0.0.1:%u\n"
	    "ready=127.0.0.1:%u\nmetrics=127.0.0.1:%u\npeers=127.0.0.1:%u\n"
	    "store=127.0.0.1:%u\nseeds=\nstop-grace-s=8\nlease-ms=3000\n"
	    "drain-ms=2000\nconfig-apply-ms=2000\nretry-ratio=0.2\n"
	    "retry-slack=58\nprocessor-share=0.25\ncores=1\n"
	    "link-mbps=1000.0\ndescriptors=4100\n",
	    name, zone, first_port, first_port + 1, first_port + 3,
	    first_port + 2, store.port);
	(void)fclose(file);
}

static int
is_ready(uint16_t port)
{
	const struct timeval limit = {1, 0};
	conn_t conn = {.fd = connect_to(port)};
	message_t answer = {0};
	int ready = 0;

	if (conn.fd >= 0)
		(void)setsockopt(
		    conn.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (conn.fd >= 0 &&
	    send_text(conn.fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") ==
		0 &&
	    message_read(&conn, &answer) == 0)
		ready = answer.status == 200;
	message_free(&answer);
	conn_close(&conn);
	return ready;
}

entry_t *
entry_start(const char *name, const char *zone)
{
	static const char *const program = "target/bin/almond-entry";
	entry_t *entry = &entries[entry_count];
	uint64_t end_ms = now_ms() + READY_LIMIT_MS;
	char settings[160];
	char log[160];

	if (entry_count == 0)
		srand((unsigned)getpid());
	(void)snprintf(entry->name, sizeof(entry->name), "%s", name);
	entry->port = free_ports();
	entry->ready_port = (uint16_t)(entry->port + 1);
	(void)snprintf(
	    settings, sizeof(settings), "%s/%s.conf", work_folder, name);
	(void)snprintf(log, sizeof(log), "%s/%s.log", work_folder, name);
	write_settings(settings, name, zone, entry->port);
	entry->pid = fork();
	if (entry->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		(void)dup2(fd, STDOUT_FILENO);
		(void)dup2(fd, STDERR_FILENO);
		(void)setenv("ALMONDTHREAD_NODE_FILE", settings, 1);
		(void)setenv("ALMONDTHREAD_SECRET", SECRET, 1);
		(void)execl(program, program, (char *)NULL);
		_exit(127);
	}
	entry_count++;
	while (!is_ready(entry->ready_port)) {
		if (now_ms() > end_ms) {
			record("not run: %s is not ready", name);
			standin_end(EXIT_NOT_RUN);
		}
		sleep_ms(20);
	}
	record("%s is ready", name);
	return entry;
}
