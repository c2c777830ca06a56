#include "support/crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "io/address.h"
#include "io/clock.h"
#include "io/machine.h"
#include "platform/names.h"
#include "support/entry_fixture.h"
#include "support/fixture.h"

#define CLIENTS_MAX 4000u
#define STUB_CONNECTIONS_MAX 1024u
#define OWN_DESCRIPTORS 8192u
#define BLOCK_BYTES (1u << 20)
#define STEP_MS 2u
/* The crowd has ended once nobody has sent anything for this time. */
#define QUIET_MS 1500u
#define CROWD_MAX_MS 60000u
#define RETURNING_S 4u /* for which clients return */
#define TRICKLE_MS 100u
#define EVENT_MS 300u /* from the begin of the crowd to its event */
#define FREEZE_MS 2000u
#define ENDED_MAX_MS 60000u /* of a process that is told to stop */
/* Of a slow request; the time for its headers is in the configuration. */
#define HEADER_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000
#define HEADER_GAP_MS 2500u
#define PIECE_GAP_MS 500u
#define SERVED_MAX_MS 30000u /* callers repeat a refused request */
#define CALL_MAX_MS 15000u
#define REPEAT_MS 300u
#define READY_MAX_MS 10000u
#define FIELDS_BYTES 15000u
#define SMALLER_BODY_BYTES 65536
#define LARGE_RESPONSE_BYTES 6291456u
#define HEAD_SIZE 16384u
#define LISTENING 10u /* in /proc/net/tcp */

/* What the clients of one kind send. */
typedef struct shape {
	crowd_kind_t kind;
	size_t length;
	size_t sent;
	size_t piece;
	size_t chunk;
	char *block; /* repeated in a body */
	size_t block_len;
	size_t chunk_len; /* with its frame */
} shape_t;

/* The kinds of a mixed crowd. */
static const shape_t mixed_shapes[] = {
    {.kind = CROWD_LENGTH, .length = 4000000, .sent = 3999999, .piece = 65536},
    {.kind = CROWD_CHUNKED, .sent = 60000, .piece = 6000, .chunk = 1},
    {.kind = CROWD_LENGTH,
	.length = 1000000000,
	.sent = 4000000,
	.piece = 262144},
    {.kind = CROWD_HEADERS, .sent = 40000, .piece = 4096},
    {.kind = CROWD_LENGTH, .length = 64, .sent = 63, .piece = 64},
    {.kind = CROWD_FIELDS, .piece = 16384}, {.kind = CROWD_SILENT, .piece = 1},
    {.kind = CROWD_PIPELINED, .sent = 200000, .piece = 65536}};
#define MIXED_COUNT (sizeof(mixed_shapes) / sizeof(mixed_shapes[0]))

typedef struct client {
	const shape_t *shape;
	int fd; /* -1: closed */
	char head[HEAD_SIZE];
	size_t head_len;
	size_t offset; /* bytes sent, with the head */
	uint64_t sent_ms;
	int is_complete;
} client_t;

typedef struct stub_connection {
	int fd; /* 0: none, -1: closed */
	char head[4096];
	size_t head_len;
	int has_head;
	char response[256];
	size_t response_len;
	size_t sent;
} stub_connection_t;

typedef struct world {
	crowd_t crowd;
	entry_fixture_t *entry; /* of almond-entry, or NULL */
	fixture_t *daemon;      /* of almondthreadd, or NULL */
	at_httpc_t *httpc;      /* the fixture's */
	char bearer[160];
	pid_t pid;
	char folder[64];
	char addresses[CROWD_ADDRESS_COUNT][AT_ADDR_SIZE];
	uint32_t host; /* of its own, as other tests take any port */
	uint16_t first_port;
	shape_t shapes[MIXED_COUNT];
	size_t shape_count;
	client_t clients[CLIENTS_MAX];
	uint64_t start_ms;
	int goes_on; /* clients send, or return, until the end of the test */
	int has_event_begun;
	int has_ended;
	int is_frozen;
	int stub_fd;
	uint16_t stub_port;
	stub_connection_t stub_connections[STUB_CONNECTIONS_MAX];
	size_t stub_count;
	char *stub_block; /* repeated in a response */
	size_t stub_block_len;
	size_t peak_kb; /* resident, with what the kernel holds */
	size_t peak_descriptors;
	size_t memory_kb;
	size_t descriptors;
} world_t;

/* An ordinary request at an address. */
typedef struct ordinary {
	const char *method;
	const char *target;
	const char *body;
} ordinary_t;

static const ordinary_t ordinary_requests[][CROWD_ADDRESS_COUNT] = {
    [CROWD_ENTRY] = {[CROWD_CALLERS] = {"POST", "/once/y", "prompt"},
	[CROWD_CHECKS] = {"GET", "/readyz", NULL},
	[CROWD_METRICS] = {"GET", "/metrics", NULL}},
    [CROWD_DAEMON] = {[CROWD_CALLERS] = {"POST", "/v1/chat/completions",
			  "{\"model\":\"m1\",\"max_tokens\":3,"
			  "\"messages\":[]}"},
	[CROWD_CHECKS] = {"GET", "/readyz", NULL},
	[CROWD_METRICS] = {"GET", "/metrics", NULL}}};

/*
 * Runs by hand on other machines: MEMORY_LIMITS_MB and MEMORY_LIMITS_FDS are
 * the machine's, MEMORY_LIMITS_TIMES multiplies the crowd, and
 * MEMORY_LIMITS_S is for how long its clients return.
 */
static size_t
number_of(const char *variable, size_t otherwise)
{
	const char *text = getenv(variable);

	return text == NULL ? otherwise : strtoul(text, NULL, 10);
}

static int
connect_client(const world_t *world, size_t number)
{
	struct sockaddr_in addr;
	struct sockaddr_in source = {.sin_family = AF_INET};
	int type =
	    world->crowd.kind == CROWD_DATAGRAMS ? SOCK_DGRAM : SOCK_STREAM;
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	cr_assert_geq(fd, 0);
	cr_assert_eq(
	    at_address_parse(world->addresses[world->crowd.address], &addr), 0);
	if (world->crowd.sources > 0) {
		source.sin_addr.s_addr =
		    htonl((127u << 24 | 1u << 16) +
			  (uint32_t)(1u + number % world->crowd.sources));
		cr_assert_eq(
		    bind(fd, (const struct sockaddr *)&source, sizeof(source)),
		    0);
	}
	(void)connect(fd, (const struct sockaddr *)&addr, sizeof(addr));
	return fd;
}

/*
 * Bytes that the kernel holds for the process: received and not read by it, or
 * sent by it and not read by the client, also on connections that it has
 * closed.
 */
static size_t
kernel_kb(const world_t *world)
{
	char line[512];
	size_t sum = 0;
	FILE *file = fopen("/proc/net/tcp", "r");

	while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
		unsigned address;
		unsigned remote;
		unsigned state;
		unsigned unsent;
		unsigned received;

		if (sscanf(line, " %*u: %x:%*x %*x:%x %x %x:%x", &address,
			&remote, &state, &unsent, &received) != 5 ||
		    state == LISTENING)
			continue;
		if (ntohl(address) == world->host)
			sum += unsent + received;
		else if (remote != 0 && remote == world->stub_port)
			sum += received;
	}
	if (file != NULL)
		(void)fclose(file);
	return sum / 1024u;
}

static void
watch(world_t *world)
{
	size_t kb = process_status_kb(world->pid, "VmRSS:") + kernel_kb(world);
	size_t descriptors = process_descriptors(world->pid);

	if (kb > world->peak_kb)
		world->peak_kb = kb;
	if (descriptors > world->peak_descriptors)
		world->peak_descriptors = descriptors;
}

static void
choose_addresses(world_t *world)
{
	size_t i;

	world->host = 127u << 24 |
		      (100u + ((unsigned)getpid() >> 16) % 100u) << 16 |
		      ((unsigned)getpid() & 0xffffu);
	world->first_port = (uint16_t)(10000u + (unsigned)getpid() % 20000u);
	for (i = 0; i < CROWD_ADDRESS_COUNT; i++)
		(void)snprintf(world->addresses[i], AT_ADDR_SIZE,
		    "127.%u.%u.%u:%u", world->host >> 16 & 255u,
		    world->host >> 8 & 255u, world->host & 255u,
		    world->first_port + 3u * (unsigned)i);
	/* almondthreadd has one address for both. */
	if (world->crowd.program == CROWD_DAEMON)
		memcpy(world->addresses[CROWD_METRICS],
		    world->addresses[CROWD_CHECKS], AT_ADDR_SIZE);
}

/* almond-entry reads its settings from a file, whose names are the users'. */
static void
write_settings(const world_t *world)
{
	char path[PROCESS_PATH_SIZE];
	FILE *file;

	(void)snprintf(path, sizeof(path), "%s/node.conf", world->folder);
	file = fopen(path, "w");
	cr_assert_not_null(file);
	(void)fprintf(file,
	    "name=entry-0\ndata-centre=north\nlisten=%s\nready=%s\n"
	    "metrics=%s\npeers=%s\nstore=%s\n",
	    world->addresses[CROWD_CALLERS], world->addresses[CROWD_CHECKS],
	    world->addresses[CROWD_METRICS], world->addresses[CROWD_PEERS],
	    world->entry->store_address);
	(void)fclose(file);
}

static void
start_process(world_t *world)
{
	char log[PROCESS_PATH_SIZE];
	char texts[10][PROCESS_PATH_SIZE];
	const char *variables[12] = {NULL};
	const crowd_t *crowd = &world->crowd;
	process_spec_t spec = {.program = crowd->program == CROWD_ENTRY
					      ? "almond-entry"
					      : "almondthreadd",
	    .variables = variables,
	    .log = log,
	    .descriptors = crowd->has_kernel_limit ? world->descriptors : 0};
	size_t count = 0;

	if (crowd->without_memory_setting && process_has_plain_memory())
		spec.data_kb = world->memory_kb;
	(void)snprintf(log, sizeof(log), "%s/log", world->folder);
	variables[count++] = "ASAN_OPTIONS=detect_leaks=0";
	(void)snprintf(texts[count], PROCESS_PATH_SIZE,
	    "ALMONDTHREAD_SECRET=%s", fixture_secret());
	variables[count] = texts[count];
	count++;
	(void)snprintf(texts[count], PROCESS_PATH_SIZE,
	    "ALMONDTHREAD_DESCRIPTORS=%zu", world->descriptors);
	variables[count] = texts[count];
	count++;
	if (!crowd->without_memory_setting) {
		(void)snprintf(texts[count], PROCESS_PATH_SIZE,
		    "ALMONDTHREAD_MEMORY_MB=%zu", world->memory_kb / 1024u);
		variables[count] = texts[count];
		count++;
	}
	if (crowd->program == CROWD_ENTRY) {
		write_settings(world);
		(void)snprintf(texts[count], PROCESS_PATH_SIZE,
		    "ALMONDTHREAD_NODE_FILE=%s/node.conf", world->folder);
		variables[count] = texts[count];
	} else {
		variables[count++] = "ALMONDTHREAD_NAME=n1";
		variables[count++] = "ALMONDTHREAD_DATA_CENTRE=north";
		(void)snprintf(texts[count], PROCESS_PATH_SIZE,
		    "ALMONDTHREAD_LISTEN=%s", world->addresses[CROWD_CALLERS]);
		variables[count] = texts[count];
		count++;
		(void)snprintf(texts[count], PROCESS_PATH_SIZE,
		    "ALMONDTHREAD_OPERATORS=%s",
		    world->addresses[CROWD_CHECKS]);
		variables[count] = texts[count];
		count++;
		(void)snprintf(texts[count], PROCESS_PATH_SIZE,
		    "ALMONDTHREAD_PEERS=%s", world->addresses[CROWD_PEERS]);
		variables[count] = texts[count];
		count++;
		(void)snprintf(texts[count], PROCESS_PATH_SIZE,
		    "ALMONDTHREAD_PLATFORM=%s",
		    world->daemon->platform_address);
		variables[count] = texts[count];
	}
	world->pid = process_start(&spec);
}

static void
prepare_stub(world_t *world)
{
	struct sockaddr_in bound = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(bound);
	char address[AT_ADDR_SIZE];
	int is_stream = world->crowd.stub == STUB_STREAM;

	world->stub_fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	cr_assert_eq(bind(world->stub_fd, (struct sockaddr *)&bound, len), 0);
	cr_assert_eq(listen(world->stub_fd, STUB_CONNECTIONS_MAX), 0);
	cr_assert_eq(
	    getsockname(world->stub_fd, (struct sockaddr *)&bound, &len), 0);
	world->stub_port = ntohs(bound.sin_port);
	(void)snprintf(
	    address, sizeof(address), "127.0.0.1:%u", world->stub_port);
	if (world->entry != NULL)
		standin_store_put(world->entry->store, WIRE_KIND_SERVERS,
		    "stub",
		    standin_server_spec(is_stream ? "llm" : "plain", address,
			"north", ENTRY_FIXTURE_VERSION, is_stream ? "m1" : NULL,
			0, 1));
	else
		fixture_list_service(
		    world->daemon, "stub", "north", "desk", address);
	world->stub_block = malloc(BLOCK_BYTES);
	memset(world->stub_block, 'e', BLOCK_BYTES);
	world->stub_block_len = is_stream ? 32768 : BLOCK_BYTES;
	memcpy(world->stub_block, "data: ", 6);
	memcpy(world->stub_block + world->stub_block_len - 2, "\n\n", 2);
}

static void
begin_response(const world_t *world, stub_connection_t *connection)
{
	const char *id = strcasestr(connection->head, WIRE_REQUEST_ID ": ");
	size_t len = id == NULL ? 0 : strcspn(id, "\r");
	char length[64] = "";

	if (world->crowd.stub != STUB_STREAM)
		(void)snprintf(length, sizeof(length), "Content-Length: %u\r\n",
		    LARGE_RESPONSE_BYTES);
	connection->has_head = 1;
	connection->response_len =
	    (size_t)snprintf(connection->response, sizeof(connection->response),
		"HTTP/1.1 200 OK\r\n%.*s\r\n" WIRE_SIGNATURE ": stub\r\n%s\r\n",
		(int)len, id == NULL ? "" : id, length);
}

/* Takes the head of a request. Returns 0 once it is complete. */
static int
receive_head(const world_t *world, stub_connection_t *connection)
{
	ssize_t len;

	if (connection->has_head)
		return 0;
	len = recv(connection->fd, connection->head + connection->head_len,
	    sizeof(connection->head) - 1 - connection->head_len, 0);
	if (len <= 0)
		return -1;
	connection->head_len += (size_t)len;
	if (strstr(connection->head, "\r\n\r\n") == NULL)
		return -1;
	begin_response(world, connection);
	return 0;
}

static void
drop_request(const stub_connection_t *connection)
{
	char bytes[65536];

	while (recv(connection->fd, bytes, sizeof(bytes), 0) > 0)
		continue;
}

static void
step_stub_connection(const world_t *world, stub_connection_t *connection)
{
	size_t end = world->crowd.stub == STUB_LARGE ? LARGE_RESPONSE_BYTES
						     : (size_t)1 << 40;
	ssize_t len;

	if (world->crowd.stub == STUB_SILENT) {
		drop_request(connection);
		return;
	}
	if (receive_head(world, connection) != 0 ||
	    world->crowd.stub == STUB_NO_READING)
		return;
	while (connection->sent < connection->response_len + end) {
		const char *data;
		size_t left;

		if (connection->sent < connection->response_len) {
			data = connection->response + connection->sent;
			left = connection->response_len - connection->sent;
		} else {
			size_t offset =
			    (connection->sent - connection->response_len) %
			    world->stub_block_len;

			data = world->stub_block + offset;
			left = world->stub_block_len - offset;
		}
		len = send(connection->fd, data, left, MSG_NOSIGNAL);
		if (len <= 0)
			return;
		connection->sent += (size_t)len;
	}
}

static void
step_stub(world_t *world)
{
	size_t i;
	int fd;

	if (world->crowd.stub == STUB_NONE)
		return;
	while (world->stub_count < STUB_CONNECTIONS_MAX &&
	       (fd = accept4(world->stub_fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		world->stub_connections[world->stub_count++].fd = fd;
	for (i = 0; i < world->stub_count; i++)
		step_stub_connection(world, &world->stub_connections[i]);
}

static const char *
crowd_target(const world_t *world)
{
	const crowd_t *crowd = &world->crowd;

	if (crowd->address == CROWD_CHECKS)
		return "/readyz";
	if (crowd->address == CROWD_METRICS)
		return "/metrics";
	if (crowd->kind == CROWD_JSON)
		return "/v1/chat/completions";
	if (crowd->program == CROWD_DAEMON)
		return "/charges";
	if (crowd->kind == CROWD_NAMES)
		return "/once/x";
	return crowd->stub == STUB_STREAM ? "/once/x" : "/unsafe/x";
}

/* Writes the headers that all requests of the crowd have. */
static size_t
format_headers(const world_t *world, const char *method, size_t number,
    char *out, size_t size)
{
	return (size_t)snprintf(out, size,
	    "%s %s HTTP/1.1\r\nHost: " ENTRY_FIXTURE_HOST "\r\n" WIRE_API_KEY
	    ": Bearer %s\r\n" WIRE_REQUEST_ID ": crowd-%zu\r\n%s",
	    method, crowd_target(world), world->bearer, number,
	    world->crowd.stub == STUB_STREAM ? WIRE_MODEL
		": m1\r\n" WIRE_TOKEN_COUNTS ": 100,50\r\n"
					     : "");
}

static void
prepare_chunks(shape_t *shape)
{
	size_t len = 0;
	char frame[32];

	(void)snprintf(frame, sizeof(frame), "%zx\r\n", shape->chunk);
	shape->chunk_len = strlen(frame) + shape->chunk + 2;
	while (len + shape->chunk + 16 < 2u * BLOCK_BYTES) {
		memcpy(shape->block + len, frame, strlen(frame));
		len += strlen(frame) + shape->chunk;
		memcpy(shape->block + len, "\r\n", 2);
		len += 2;
		if (shape->chunk > 1)
			break;
	}
	shape->block_len = len;
}

/* The block is the whole body, so that it is not repeated. */
static void
prepare_json(shape_t *shape)
{
	static const char begin[] = "{\"messages\":[1";
	static const char end[] = "],\"model\":\"m1\"}";
	size_t i;

	shape->block = malloc(shape->length);
	shape->block_len = shape->length;
	for (i = 0; i < shape->length; i++)
		shape->block[i] = i % 2 == 0 ? ',' : '1';
	memcpy(shape->block, begin, sizeof(begin) - 1);
	memcpy(shape->block + shape->length - sizeof(end) + 1, end,
	    sizeof(end) - 1);
}

static void
prepare_shape(const world_t *world, shape_t *shape)
{
	if (shape->kind == CROWD_JSON) {
		prepare_json(shape);
		return;
	}
	shape->block = malloc(2u * BLOCK_BYTES);
	memset(shape->block, 'x', 2u * BLOCK_BYTES);
	shape->block_len = BLOCK_BYTES;
	if (shape->kind == CROWD_CHUNKED)
		prepare_chunks(shape);
	if (shape->kind != CROWD_PIPELINED)
		return;
	shape->block_len =
	    format_headers(world, "GET", 0, shape->block, 2u * BLOCK_BYTES);
	memcpy(shape->block + shape->block_len, "\r\n", 2);
	shape->block_len += 2;
}

static void
prepare_shapes(world_t *world)
{
	const crowd_t *crowd = &world->crowd;
	size_t i;

	world->shape_count = crowd->kind == CROWD_MIXED ? MIXED_COUNT : 1;
	if (crowd->kind == CROWD_MIXED)
		memcpy(world->shapes, mixed_shapes, sizeof(mixed_shapes));
	else
		world->shapes[0] = (shape_t){.kind = crowd->kind,
		    .length = crowd->length,
		    .sent = crowd->sent,
		    .piece = crowd->piece,
		    .chunk = crowd->chunk};
	for (i = 0; i < world->shape_count; i++)
		prepare_shape(world, &world->shapes[i]);
}

/* Writes a header section of FIELDS_BYTES. */
static size_t
format_fields(client_t *client, size_t len)
{
	unsigned field = 0;

	while (len < FIELDS_BYTES)
		len += (size_t)snprintf(client->head + len, HEAD_SIZE - len,
		    "X-Field-%u: %s\r\n", field++, "a value of some length");
	return len + (size_t)snprintf(client->head + len, HEAD_SIZE - len,
			 "Content-Length: 0\r\n\r\n");
}

/* Names that a client makes up: of a model, of parts of a prompt, of a charge.
 */
static size_t
format_names(client_t *client, size_t len)
{
	static size_t name;

	name++;
	return len + (size_t)snprintf(client->head + len, HEAD_SIZE - len,
			 WIRE_MODEL
			 ": name-%zu\r\n" WIRE_TOKEN_COUNTS
			 ": 100,50\r\n" WIRE_PROMPT_PREFIX
			 ": %zu:60,%zu:40\r\nIdempotency-Key: key-%zu\r\n"
			 "Content-Length: 0\r\n\r\n",
			 name, 2u * name, 2u * name + 1u, name);
}

static void
prepare_head(const world_t *world, client_t *client, size_t number)
{
	const shape_t *shape = client->shape;
	size_t len = 0;

	switch (shape->kind) {
	case CROWD_SILENT:
	case CROWD_PIPELINED:
	case CROWD_GARBAGE:
	case CROWD_DATAGRAMS:
	case CROWD_MIXED:
		break;
	case CROWD_LENGTH:
	case CROWD_JSON:
	case CROWD_NO_READING:
	case CROWD_CHUNKED:
	case CROWD_HEADERS:
	case CROWD_FIELDS:
	case CROWD_NAMES:
		len = format_headers(
		    world, "POST", number, client->head, HEAD_SIZE);
		break;
	}
	if (shape->kind == CROWD_LENGTH || shape->kind == CROWD_JSON ||
	    shape->kind == CROWD_NO_READING)
		len += (size_t)snprintf(client->head + len, HEAD_SIZE - len,
		    "Content-Length: %zu\r\n\r\n", shape->length);
	else if (shape->kind == CROWD_CHUNKED)
		len += (size_t)snprintf(client->head + len, HEAD_SIZE - len,
		    "Transfer-Encoding: chunked\r\n\r\n");
	else if (shape->kind == CROWD_HEADERS)
		len += (size_t)snprintf(
		    client->head + len, HEAD_SIZE - len, "X-Long: ");
	else if (shape->kind == CROWD_FIELDS)
		len = format_fields(client, len);
	else if (shape->kind == CROWD_NAMES)
		len = format_names(client, len);
	client->head_len = len;
}

static void
begin_client(const world_t *world, size_t number, client_t *client)
{
	client->shape = &world->shapes[number % world->shape_count];
	client->offset = 0;
	prepare_head(world, client, number);
	client->is_complete = number < world->crowd.complete;
	client->fd = connect_client(world, number);
}

/* Returns what a client sends next; *len is 0 at the end. */
static const char *
next_bytes(const client_t *client, size_t *len)
{
	const shape_t *shape = client->shape;
	size_t sent = shape->sent;
	size_t offset;

	if (client->offset < client->head_len) {
		*len = client->head_len - client->offset;
		return client->head + client->offset;
	}
	if (client->is_complete && shape->kind != CROWD_CHUNKED)
		sent = shape->length;
	offset = client->offset - client->head_len;
	if (offset < sent) {
		*len = shape->block_len - offset % shape->block_len;
		if (*len > sent - offset)
			*len = sent - offset;
		return shape->block + offset % shape->block_len;
	}
	*len = 0;
	if (client->is_complete && shape->kind == CROWD_CHUNKED &&
	    sent % shape->chunk_len == 0 && offset < sent + 5) {
		*len = sent + 5 - offset;
		return &"0\r\n\r\n"[offset - sent];
	}
	return "";
}

static int
reads(const client_t *client)
{
	return client->shape->kind != CROWD_NO_READING &&
	       client->shape->kind != CROWD_PIPELINED;
}

/* Returns non-zero if the connection was closed. */
static int
receive(const world_t *world, client_t *client)
{
	char bytes[4096];
	ssize_t len = recv(client->fd, bytes, sizeof(bytes), 0);

	if (len > 0 && client->shape->kind == CROWD_NAMES) {
		client->offset = 0;
		prepare_head(world, client, 0);
	}
	if (len > 0 || (len < 0 && (errno == EAGAIN || errno == ENOTCONN)))
		return 0;
	(void)close(client->fd);
	client->fd = -1;
	return 1;
}

/* Returns the number of bytes that a client could send. */
static size_t
step_client(world_t *world, size_t number)
{
	client_t *client = &world->clients[number];
	size_t piece = world->crowd.trickles ? 1 : client->shape->piece;
	uint64_t now_ms = at_clock_now_ms();
	size_t sum = 0;
	ssize_t len = 0;

	if (client->fd < 0 && world->crowd.returns)
		begin_client(world, number, client);
	if (client->fd < 0 || (reads(client) && receive(world, client)))
		return 0;
	/* What is before the last byte of the headers is sent at once. */
	if (world->crowd.trickles && client->offset < client->head_len)
		piece = client->head_len - client->offset;
	else if (world->crowd.trickles && now_ms < client->sent_ms + TRICKLE_MS)
		return 0;
	client->sent_ms = now_ms;
	while (sum < piece) {
		size_t left;
		const char *data = next_bytes(client, &left);

		if (left > piece - sum)
			left = piece - sum;
		len =
		    left == 0 ? 0 : send(client->fd, data, left, MSG_NOSIGNAL);
		if (len <= 0)
			break;
		client->offset += (size_t)len;
		sum += (size_t)len;
	}
	/* One that does not read learns it here. */
	if (len < 0 && errno != EAGAIN && errno != ENOTCONN) {
		(void)close(client->fd);
		client->fd = -1;
	}
	return sum;
}

static size_t
step_clients(world_t *world)
{
	size_t sum = 0;
	size_t i;

	for (i = 0; i < world->crowd.clients; i++)
		sum += step_client(world, i);
	return sum;
}

static void
step(world_t *world)
{
	step_stub(world);
	if (world->entry != NULL)
		entry_fixture_run_ms(world->entry, STEP_MS);
	else
		fixture_run_ms(world->daemon, STEP_MS);
	watch(world);
}

static void
apply_entry_config(entry_fixture_t *fixture, uint64_t version, int body_max)
{
	static const standin_route_t routes[] = {
	    {"/unsafe/", "unsafe", "plain", 1, 0},
	    {"/once/", "streaming", "llm", 1, 0}};
	json_t *config = standin_config_spec(version, ENTRY_FIXTURE_HOST,
	    routes, sizeof(routes) / sizeof(routes[0]), "studio",
	    ENTRY_FIXTURE_KEY);

	json_object_set_new(config, "limits",
	    json_pack("{s:i,s:i,s:i}", "max_body_bytes", body_max,
		"header_timeout_ms", HEADER_TIMEOUT_MS, "idle_timeout_ms",
		IDLE_TIMEOUT_MS));
	standin_store_put(
	    fixture->store, WIRE_KIND_CONFIG, WIRE_CONFIG_NAME, config);
}

static void
apply_daemon_config(fixture_t *fixture, unsigned generation, int body_max)
{
	char config[2048];
	char hash[65];

	(void)fixture_make_key("k1", hash);
	(void)snprintf(config, sizeof(config),
	    "{\"generation\":%u,\"defaults\":{\"max_body_bytes\":%d},"
	    "\"data_centres\":[\"north\"],\"workspaces\":[{\"name\":\"w1\","
	    "\"rate_tokens_s\":1000000,\"burst_tokens\":1000000,\"keys\":["
	    "{\"id\":\"k1\",\"hash\":\"%s\"}]}],\"models\":[{\"name\":\"m1\","
	    "\"memory_mb\":10}],\"services\":[{\"name\":\"desk\"}],"
	    "\"routes\":[{\"path\":\"/charges\",\"method\":\"POST\","
	    "\"service\":\"desk\",\"repeat\":\"once\"}]}",
	    generation, body_max, hash);
	fixture_apply_config(fixture, config);
}

static void
apply_config(world_t *world, unsigned version, int body_max)
{
	if (world->entry != NULL)
		apply_entry_config(world->entry, version, body_max);
	else
		apply_daemon_config(world->daemon, version, body_max);
}

static void
step_event(world_t *world)
{
	uint64_t now_ms = at_clock_now_ms();

	if (world->crowd.event == CROWD_NO_EVENT ||
	    world->crowd.event == CROWD_START)
		return;
	if (!world->has_event_begun && now_ms >= world->start_ms + EVENT_MS) {
		world->has_event_begun = 1;
		if (world->crowd.event == CROWD_STOP)
			(void)kill(world->pid, SIGTERM);
		if (world->crowd.event == CROWD_SMALLER_BODIES)
			apply_config(world, 9, SMALLER_BODY_BYTES);
		world->is_frozen = world->crowd.event == CROWD_FREEZE;
		if (world->is_frozen)
			(void)kill(world->pid, SIGSTOP);
	}
	if (!world->is_frozen ||
	    now_ms < world->start_ms + EVENT_MS + FREEZE_MS)
		return;
	(void)kill(world->pid, SIGCONT);
	world->is_frozen = 0;
}

/* Returns non-zero once the process has ended; it must have been by itself. */
static int
has_ended(world_t *world)
{
	int status = 0;

	if (!world->has_ended && process_is_alive(world->pid, &status))
		return 0;
	cr_expect(WIFEXITED(status) && WEXITSTATUS(status) == 0,
	    "the process ended with status %x", (unsigned)status);
	world->has_ended = 1;
	return 1;
}

/*
 * A crowd whose clients return, or send a little from time to time, goes on
 * until the end of the test.
 */
static void
run_crowd(world_t *world)
{
	uint64_t returning_ms =
	    number_of("MEMORY_LIMITS_S", RETURNING_S) * (uint64_t)AT_MS_PER_S;
	uint64_t progress_ms = at_clock_now_ms();
	uint64_t now_ms = progress_ms;

	world->start_ms = progress_ms;
	world->goes_on = world->crowd.returns || world->crowd.trickles ||
			 world->crowd.kind == CROWD_NAMES;
	while ((world->goes_on || now_ms < world->start_ms + CROWD_MAX_MS) &&
	       (world->goes_on
		       ? now_ms < world->start_ms + returning_ms
		       : now_ms < progress_ms + QUIET_MS || world->is_frozen)) {
		size_t sum = step_clients(world);

		step_event(world);
		step(world);
		now_ms = at_clock_now_ms();
		if (sum > 0)
			progress_ms = now_ms;
		if (world->crowd.event != CROWD_STOP)
			cr_assert(process_is_alive(world->pid, NULL),
			    "the process has ended");
		else if (has_ended(world))
			return;
	}
}

typedef struct answer {
	int status;
	int done;
} answer_t;

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	answer_t *answer = ctx;

	(void)transfer;
	answer->status = status;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	answer_t *answer = ctx;

	answer->done = 1;
	if (!result->is_complete)
		answer->status = 0;
}

/* Sends an ordinary request on a new connection. Returns its status, or 0. */
static int
call(world_t *world, crowd_address_t address)
{
	const ordinary_t *ordinary =
	    &ordinary_requests[world->crowd.program][address];
	char url[AT_ADDR_SIZE + 16];
	char bearer[200];
	const char *headers[] = {"Host: " ENTRY_FIXTURE_HOST, bearer,
	    WIRE_REQUEST_ID ": ordinary", WIRE_MODEL ": m0",
	    WIRE_TOKEN_COUNTS ": 100,50", NULL};
	const at_transfer_spec_t spec = {.method = ordinary->method,
	    .url = url,
	    .target = ordinary->target,
	    .headers = headers,
	    .body = ordinary->body,
	    .body_len = ordinary->body == NULL ? 0 : strlen(ordinary->body),
	    .new_connection = 1,
	    .total_ms = CALL_MAX_MS};
	answer_t answer = {0};
	const at_transfer_events_t events = {
	    .on_headers = on_headers, .on_done = on_done, .ctx = &answer};

	(void)snprintf(
	    url, sizeof(url), "http://%s/", world->addresses[address]);
	(void)snprintf(
	    bearer, sizeof(bearer), WIRE_API_KEY ": Bearer %s", world->bearer);
	cr_assert_not_null(at_httpc_start(world->httpc, &spec, &events));
	while (!answer.done) {
		if (world->goes_on)
			(void)step_clients(world);
		step(world);
	}
	return answer.status;
}

/* Callers repeat a request that was refused. Returns the last status. */
static int
call_until_served(world_t *world, crowd_address_t address, uint64_t limit_ms)
{
	uint64_t start_ms = at_clock_now_ms();
	int status = 0;

	while (status != 200 && at_clock_now_ms() < start_ms + limit_ms) {
		uint64_t due_ms;

		status = call(world, address);
		due_ms = at_clock_now_ms() + REPEAT_MS;
		while (status != 200 && at_clock_now_ms() < due_ms)
			step(world);
	}
	return status;
}

static void
prepare_fixture(world_t *world)
{
	char hash[65];

	if (world->crowd.program == CROWD_ENTRY) {
		world->entry = entry_fixture_new();
		world->httpc = world->entry->httpc;
		(void)snprintf(world->bearer, sizeof(world->bearer), "%s",
		    ENTRY_FIXTURE_KEY);
		(void)entry_fixture_add_engine(world->entry, "m0");
		if (world->crowd.stub == STUB_NONE ||
		    world->crowd.stub == STUB_STREAM)
			(void)entry_fixture_add_service(world->entry);
	} else {
		world->daemon = fixture_new();
		world->httpc = world->daemon->httpc;
		(void)snprintf(world->bearer, sizeof(world->bearer), "%s",
		    fixture_make_key("k1", hash));
		(void)fixture_add_engine(world->daemon, "e1", "north", "m1");
		if (world->crowd.stub == STUB_NONE)
			(void)fixture_add_service(
			    world->daemon, "s1", "north", "desk");
	}
	apply_config(world, 3, CROWD_BODY_MAX_BYTES);
	if (world->crowd.stub != STUB_NONE)
		prepare_stub(world);
}

static void
world_delete(world_t *world)
{
	char path[PROCESS_PATH_SIZE];
	size_t i;

	process_end();
	for (i = 0; i < world->crowd.clients; i++) {
		if (world->clients[i].fd >= 0)
			(void)close(world->clients[i].fd);
	}
	for (i = 0; i < world->stub_count; i++)
		(void)close(world->stub_connections[i].fd);
	if (world->crowd.stub != STUB_NONE)
		(void)close(world->stub_fd);
	if (world->entry != NULL)
		entry_fixture_delete(world->entry);
	if (world->daemon != NULL)
		fixture_delete(world->daemon);
	(void)snprintf(path, sizeof(path), "%s/log", world->folder);
	(void)unlink(path);
	(void)snprintf(path, sizeof(path), "%s/node.conf", world->folder);
	(void)unlink(path);
	(void)rmdir(world->folder);
	for (i = 0; i < world->shape_count; i++)
		free(world->shapes[i].block);
	free(world->stub_block);
	free(world);
}

static void
check_served(world_t *world)
{
	static const char *const names[] = {
	    "an ordinary request", "the readiness check", "the metrics"};
	crowd_address_t address;

	cr_expect(process_is_alive(world->pid, NULL), "the process has ended");
	for (address = CROWD_CALLERS; address <= CROWD_METRICS; address++) {
		int status = call_until_served(world, address, SERVED_MAX_MS);

		cr_expect_eq(
		    status, 200, "%s: status %d", names[address], status);
	}
}

static void
check_bounds(const world_t *world, size_t idle_kb)
{
	size_t highest_kb = process_status_kb(world->pid, "VmHWM:");

	cr_log_info("idle %zu kB, peak %zu kB, resident alone %zu kB, "
		    "%zu descriptors",
	    idle_kb, world->peak_kb, highest_kb, world->peak_descriptors);
	cr_expect_leq(world->peak_descriptors, world->descriptors,
	    "%zu descriptors are open", world->peak_descriptors);
	if (!process_has_plain_memory())
		return;
	cr_expect_leq(world->peak_kb, world->memory_kb,
	    "%zu kB are resident or in the kernel of %zu", world->peak_kb,
	    world->memory_kb);
	cr_expect_leq(highest_kb, world->memory_kb,
	    "%zu kB were resident of %zu", highest_kb, world->memory_kb);
}

static size_t
or_default(size_t value, size_t otherwise)
{
	return value == 0 ? otherwise : value;
}

/* Starts the process of a crowd. */
static void
world_start(world_t *world, const crowd_t *crowd)
{
	size_t times = number_of("MEMORY_LIMITS_TIMES", 1);

	process_wait_for_turn();
	world->crowd = *crowd;
	world->memory_kb = number_of("MEMORY_LIMITS_MB",
			       or_default(crowd->memory_mb, CROWD_MEMORY_MB)) *
			   (size_t)1024;
	world->descriptors = number_of("MEMORY_LIMITS_FDS",
	    or_default(crowd->descriptors, CROWD_DESCRIPTORS));
	world->crowd.clients *= times;
	world->crowd.complete *= times;
	cr_assert_leq(world->crowd.clients, CLIENTS_MAX);
	/* Of this process, which has all clients and the backend servers. */
	cr_assert_geq(at_machine_descriptors(OWN_DESCRIPTORS),
	    world->crowd.clients + STUB_CONNECTIONS_MAX);
	(void)snprintf(world->folder, sizeof(world->folder),
	    "/tmp/almondthread-crowd-XXXXXX");
	cr_assert_not_null(mkdtemp(world->folder));
	choose_addresses(world);
	prepare_fixture(world);
	prepare_shapes(world);
	start_process(world);
}

static void
check_stopped(world_t *world)
{
	uint64_t due_ms = at_clock_now_ms() + ENDED_MAX_MS;

	while (!has_ended(world) && at_clock_now_ms() < due_ms) {
		(void)step_clients(world);
		step(world);
	}
	cr_expect(world->has_ended, "the process does not stop");
}

void
crowd_run(const crowd_t *crowd)
{
	world_t *world = calloc(1, sizeof(*world));
	size_t idle_kb = 0;
	size_t i;

	world_start(world, crowd);
	if (crowd->event != CROWD_START) {
		cr_assert_eq(
		    call_until_served(world, CROWD_CALLERS, READY_MAX_MS), 200);
		idle_kb = process_status_kb(world->pid, "VmRSS:");
	}
	for (i = 0; i < world->crowd.clients; i++)
		begin_client(world, i, &world->clients[i]);
	run_crowd(world);
	if (crowd->event == CROWD_STOP)
		check_stopped(world);
	else
		check_served(world);
	check_bounds(world, idle_kb);
	world_delete(world);
}

/* Sends bytes, and runs the world for a time. */
static void
send_slowly(world_t *world, int fd, const char *data, size_t len, uint32_t ms)
{
	uint64_t due_ms = at_clock_now_ms() + ms;

	while (len > 0 || at_clock_now_ms() < due_ms) {
		ssize_t sent = len == 0 ? 0 : send(fd, data, len, MSG_NOSIGNAL);

		cr_assert(sent >= 0 || errno == EAGAIN || errno == ENOTCONN,
		    "the connection is closed: %s", strerror(errno));
		if (sent > 0) {
			data += sent;
			len -= (size_t)sent;
		}
		step(world);
	}
}

static void
send_body(world_t *world, client_t *client)
{
	size_t len;
	const char *data;

	while (1) {
		data = next_bytes(client, &len);
		if (len > client->shape->piece)
			len = client->shape->piece;
		if (len == 0)
			return;
		send_slowly(world, client->fd, data, len, PIECE_GAP_MS);
		client->offset += len;
	}
}

static void
expect_served(world_t *world, const client_t *client)
{
	uint64_t due_ms = at_clock_now_ms() + SERVED_MAX_MS;
	char bytes[4096] = "";
	ssize_t len = -1;

	while (len < 0 && at_clock_now_ms() < due_ms) {
		step(world);
		len = recv(client->fd, bytes, sizeof(bytes) - 1, 0);
	}
	cr_expect_eq(strncmp(bytes, "HTTP/1.1 200", 12), 0,
	    "the slow request gets '%.40s'", bytes);
}

void
crowd_run_slow(const crowd_t *crowd)
{
	world_t *world = calloc(1, sizeof(*world));
	client_t *client = &world->clients[0];
	size_t half;

	world_start(world, crowd);
	cr_assert_eq(
	    call_until_served(world, CROWD_CALLERS, READY_MAX_MS), 200);
	begin_client(world, 0, client);
	half = client->head_len / 2u;
	send_slowly(world, client->fd, client->head, half, HEADER_GAP_MS);
	send_slowly(world, client->fd, client->head + half,
	    client->head_len - half, PIECE_GAP_MS);
	client->offset = client->head_len;
	send_body(world, client);
	expect_served(world, client);
	check_served(world);
	check_bounds(world, 0);
	world_delete(world);
}
