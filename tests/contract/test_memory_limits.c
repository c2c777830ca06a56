/*
 * Clients that do not respect the limits, against a process of almond-entry on
 * a machine with little memory: the process lives, its memory and descriptors
 * stay under their bounds, and an ordinary request is served afterwards. What
 * becomes of the other requests depends on the machine's speed and is not
 * checked.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "io/address.h"
#include "io/clock.h"
#include "platform/names.h"
#include "support/entry_fixture.h"

#define MEMORY_MB 48u          /* of the machine, as the settings state */
#define BODY_MAX_BYTES 4194304 /* as the configuration has it */
#define DESCRIPTORS 256u       /* likewise */
#define CLIENTS_MAX 4000u
#define STUB_CONNECTIONS_MAX 1024u
#define BLOCK_BYTES (1u << 20)
#define STEP_MS 2u
/* The crowd has ended once nobody has sent anything for this time. */
#define QUIET_MS 1500u
#define CROWD_MAX_MS 60000u
#define SERVED_MAX_MS 30000u /* callers repeat a refused request */
#define REPEAT_MS 300u
#define READY_MAX_MS 10000u
#define PATH_SIZE 512u

extern char **environ;

typedef enum crowd_kind {
	CROWD_LENGTH,     /* bodies with Content-Length */
	CROWD_CHUNKED,    /* in chunks of chunk bytes */
	CROWD_HEADERS,    /* header sections without end */
	CROWD_SILENT,     /* nothing is sent */
	CROWD_NO_READING, /* whole requests; responses are not read */
} crowd_kind_t;

typedef enum stub_kind {
	STUB_NONE,      /* the service has a sound server */
	STUB_LARGE,     /* responds with a large body */
	STUB_STREAM,    /* streams events without end */
	STUB_NO_READING /* does not read request bodies */
} stub_kind_t;

typedef struct crowd {
	crowd_kind_t kind;
	stub_kind_t stub;
	size_t clients;
	size_t complete; /* of these send their body whole */
	size_t length;   /* Content-Length */
	size_t sent;     /* bytes of the body that are sent, on the wire */
	size_t piece;    /* sent by a client at a time */
	size_t chunk;
} crowd_t;

typedef struct client {
	int fd; /* -1: closed */
	char head[512];
	size_t head_len;
	size_t offset; /* bytes sent, with the head */
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
	entry_fixture_t *fixture;
	pid_t pid;
	char folder[64];
	char conf[PATH_SIZE];
	char ready[AT_ADDR_SIZE];
	uint32_t host; /* of its own, as other tests take any port */
	uint16_t port;
	client_t clients[CLIENTS_MAX];
	char *block; /* repeated in a body */
	size_t block_len;
	size_t chunk_len; /* with its frame */
	int stub_fd;
	uint16_t stub_port;
	stub_connection_t stub_connections[STUB_CONNECTIONS_MAX];
	size_t stub_count;
	char *stub_block; /* repeated in a response */
	size_t stub_block_len;
	size_t peak_kb; /* resident, with what the kernel holds unread */
	size_t peak_descriptors;
	size_t memory_kb;
	size_t descriptors;
} world_t;

/*
 * Runs by hand on other machines: MEMORY_LIMITS_MB and MEMORY_LIMITS_FDS are
 * the machine's, and MEMORY_LIMITS_TIMES multiplies the crowd.
 */
static size_t
number_of(const char *variable, size_t otherwise)
{
	const char *text = getenv(variable);

	return text == NULL ? otherwise : strtoul(text, NULL, 10);
}

/* The memory of a process under a sanitizer is not the product's. */
static int
has_plain_memory(void)
{
#if defined(__SANITIZE_ADDRESS__)
	return 0;
#elif defined(__has_feature)
#if __has_feature(address_sanitizer)
	return 0;
#else
	return 1;
#endif
#else
	return 1;
#endif
}

static int
connect_to(const world_t *world)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
	    .sin_port = htons(world->port),
	    .sin_addr = {htonl(world->host)}};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	cr_assert_geq(fd, 0);
	(void)connect(fd, (const struct sockaddr *)&addr, sizeof(addr));
	return fd;
}

/* Resident bytes and the highest number, in kB, of the process's status. */
static size_t
status_kb(pid_t pid, const char *name)
{
	char path[64];
	char line[256];
	size_t kb = 0;
	FILE *file;

	(void)snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
		if (strncmp(line, name, strlen(name)) == 0)
			kb = strtoul(line + strlen(name), NULL, 10);
	}
	if (file != NULL)
		(void)fclose(file);
	return kb;
}

/* Bytes that the kernel has received for the process and that are unread. */
static size_t
unread_kb(const world_t *world)
{
	char line[512];
	size_t sum = 0;
	FILE *file = fopen("/proc/net/tcp", "r");

	while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
		unsigned local;
		unsigned remote;
		unsigned state;
		unsigned received;

		if (sscanf(line, " %*u: %*x:%x %*x:%x %x %*x:%x", &local,
			&remote, &state, &received) == 4 &&
		    state == 1 &&
		    (local == world->port ||
			(remote != 0 && remote == world->stub_port)))
			sum += received;
	}
	if (file != NULL)
		(void)fclose(file);
	return sum / 1024u;
}

static size_t
count_descriptors(pid_t pid)
{
	char path[64];
	size_t count = 0;
	DIR *folder;

	(void)snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	folder = opendir(path);
	while (folder != NULL && readdir(folder) != NULL)
		count++;
	if (folder != NULL)
		(void)closedir(folder);
	return count < 2 ? 0 : count - 2;
}

static void
watch(world_t *world)
{
	size_t kb = status_kb(world->pid, "VmRSS:") + unread_kb(world);
	size_t descriptors = count_descriptors(world->pid);

	if (kb > world->peak_kb)
		world->peak_kb = kb;
	if (descriptors > world->peak_descriptors)
		world->peak_descriptors = descriptors;
}

static int
is_alive(const world_t *world)
{
	return waitpid(world->pid, NULL, WNOHANG) == 0;
}

/* A test that fails ends where it is. */
static pid_t started;

static void
end_process(void)
{
	if (started != 0)
		(void)kill(started, SIGKILL);
}

/* Only one of the tests runs at a time, whoever has started them. */
static void
wait_for_turn(void)
{
	int fd = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);

	cr_assert_geq(fd, 0);
	cr_assert_eq(flock(fd, LOCK_EX), 0);
}

/* The programs are in one folder. */
static void
find_program(char path[PATH_SIZE])
{
	ssize_t len = readlink("/proc/self/exe", path, PATH_SIZE - 16);

	cr_assert_gt(len, 0);
	path[len] = '\0';
	(void)snprintf(
	    strrchr(path, '/'), sizeof("/almond-entry"), "/almond-entry");
}

static void
start_process(world_t *world)
{
	char program[PATH_SIZE];
	char variable[PATH_SIZE + 32];
	char log[PATH_SIZE];
	char addresses[3][AT_ADDR_SIZE];
	/* A setting that the program does not know is rejected in the file. */
	char memory[64];
	char secret[128];
	char *argv[] = {program, NULL};
	char *env[] = {
	    variable, memory, secret, "ASAN_OPTIONS=detect_leaks=0", NULL};
	posix_spawn_file_actions_t actions;
	unsigned first = 10000u + (unsigned)getpid() % 20000u;
	size_t i;
	FILE *file;

	world->host = 127u << 24 |
		      (100u + ((unsigned)getpid() >> 16) % 100u) << 16 |
		      ((unsigned)getpid() & 0xffffu);
	(void)snprintf(world->folder, sizeof(world->folder),
	    "/tmp/almondthread-memory-XXXXXX");
	cr_assert_not_null(mkdtemp(world->folder));
	find_program(program);
	(void)snprintf(
	    world->conf, sizeof(world->conf), "%s/node.conf", world->folder);
	(void)snprintf(log, sizeof(log), "%s/log", world->folder);
	for (i = 0; i < 3; i++)
		(void)snprintf(addresses[i], AT_ADDR_SIZE, "127.%u.%u.%u:%u",
		    world->host >> 16 & 255u, world->host >> 8 & 255u,
		    world->host & 255u, first + 3u * (unsigned)(i + 1u));
	world->port = (uint16_t)(first + 3u);
	(void)snprintf(world->ready, AT_ADDR_SIZE, "%s", addresses[1]);
	file = fopen(world->conf, "w");
	cr_assert_not_null(file);
	(void)fprintf(file,
	    "name=entry-0\ndata-centre=north\nlisten=%s\nready=%s\npeers=%s\n"
	    "store=%s\ndescriptors=%zu\n",
	    addresses[0], addresses[1], addresses[2],
	    world->fixture->store_address, world->descriptors);
	(void)fclose(file);
	(void)snprintf(variable, sizeof(variable), "ALMONDTHREAD_NODE_FILE=%s",
	    world->conf);
	(void)snprintf(memory, sizeof(memory), "ALMONDTHREAD_MEMORY_MB=%zu",
	    world->memory_kb / 1024u);
	(void)snprintf(
	    secret, sizeof(secret), "ALMONDTHREAD_SECRET=%s", fixture_secret());
	(void)posix_spawn_file_actions_init(&actions);
	(void)posix_spawn_file_actions_addopen(
	    &actions, 1, log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	(void)posix_spawn_file_actions_adddup2(&actions, 1, 2);
	cr_assert_eq(
	    posix_spawn(&world->pid, program, &actions, NULL, argv, env), 0);
	started = world->pid;
	(void)posix_spawn_file_actions_destroy(&actions);
	(void)snprintf(
	    world->fixture->addresses[0], AT_ADDR_SIZE, "%s", addresses[0]);
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
	standin_store_put(world->fixture->store, WIRE_KIND_SERVERS, "stub",
	    standin_server_spec(is_stream ? "llm" : "plain", address, "north",
		ENTRY_FIXTURE_VERSION, is_stream ? "m1" : NULL, 0, 1));
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

	connection->has_head = 1;
	connection->response_len = (size_t)snprintf(connection->response,
	    sizeof(connection->response),
	    "HTTP/1.1 200 OK\r\n%.*s\r\n" WIRE_SIGNATURE ": stub\r\n%s\r\n",
	    (int)len, id == NULL ? "" : id,
	    world->crowd.stub == STUB_STREAM ? ""
					     : "Content-Length: 6291456\r\n");
}

static void
step_stub_connection(const world_t *world, stub_connection_t *connection)
{
	size_t end =
	    world->crowd.stub == STUB_LARGE ? 6291456 : (size_t)1 << 40;
	ssize_t len;

	if (!connection->has_head) {
		len = recv(connection->fd,
		    connection->head + connection->head_len,
		    sizeof(connection->head) - 1 - connection->head_len, 0);
		if (len <= 0)
			return;
		connection->head_len += (size_t)len;
		if (strstr(connection->head, "\r\n\r\n") == NULL)
			return;
		begin_response(world, connection);
	}
	if (world->crowd.stub == STUB_NO_READING)
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

static void
prepare_block(world_t *world)
{
	const crowd_t *crowd = &world->crowd;
	size_t len = 0;
	char frame[32];

	world->block = malloc(2u * BLOCK_BYTES);
	memset(world->block, 'x', 2u * BLOCK_BYTES);
	world->block_len = BLOCK_BYTES;
	if (crowd->kind != CROWD_CHUNKED)
		return;
	(void)snprintf(frame, sizeof(frame), "%zx\r\n", crowd->chunk);
	world->chunk_len = strlen(frame) + crowd->chunk + 2;
	while (len + crowd->chunk + 16 < 2u * BLOCK_BYTES) {
		memcpy(world->block + len, frame, strlen(frame));
		len += strlen(frame) + crowd->chunk;
		memcpy(world->block + len, "\r\n", 2);
		len += 2;
		if (crowd->chunk > 1)
			break;
	}
	world->block_len = len;
}

static void
prepare_client(world_t *world, size_t number)
{
	const crowd_t *crowd = &world->crowd;
	client_t *client = &world->clients[number];
	char framing[64] = "";

	if (crowd->kind == CROWD_LENGTH || crowd->kind == CROWD_NO_READING)
		(void)snprintf(framing, sizeof(framing),
		    "Content-Length: %zu\r\n\r\n", crowd->length);
	else if (crowd->kind == CROWD_CHUNKED)
		(void)snprintf(framing, sizeof(framing),
		    "Transfer-Encoding: chunked\r\n\r\n");
	else
		(void)snprintf(framing, sizeof(framing), "X-Long: ");
	if (crowd->kind != CROWD_SILENT)
		client->head_len =
		    (size_t)snprintf(client->head, sizeof(client->head),
			"POST %s HTTP/1.1\r\nHost: " ENTRY_FIXTURE_HOST
			"\r\n" WIRE_API_KEY ": Bearer " ENTRY_FIXTURE_KEY
			"\r\n" WIRE_REQUEST_ID ": crowd-%zu\r\n%s%s",
			crowd->stub == STUB_STREAM ? "/once/x" : "/unsafe/x",
			number,
			crowd->stub == STUB_STREAM ? WIRE_MODEL
			    ": m1\r\n" WIRE_TOKEN_COUNTS ": 100,50\r\n"
						   : "",
			framing);
	client->is_complete = number < crowd->complete;
	client->fd = connect_to(world);
}

/* Returns what a client sends next; *len is 0 at the end. */
static const char *
next_bytes(const world_t *world, const client_t *client, size_t *len)
{
	const crowd_t *crowd = &world->crowd;
	size_t sent = crowd->sent;
	size_t offset;

	if (client->offset < client->head_len) {
		*len = client->head_len - client->offset;
		return client->head + client->offset;
	}
	if (client->is_complete && crowd->kind != CROWD_CHUNKED)
		sent = crowd->length;
	offset = client->offset - client->head_len;
	if (offset < sent) {
		*len = world->block_len - offset % world->block_len;
		if (*len > sent - offset)
			*len = sent - offset;
		return world->block + offset % world->block_len;
	}
	*len = 0;
	if (client->is_complete && crowd->kind == CROWD_CHUNKED &&
	    sent % world->chunk_len == 0 && offset < sent + 5) {
		*len = sent + 5 - offset;
		return &"0\r\n\r\n"[offset - sent];
	}
	return "";
}

/* Returns the number of bytes that the client could send. */
static size_t
step_client(const world_t *world, client_t *client)
{
	char bytes[4096];
	size_t piece = world->crowd.piece;
	size_t sum = 0;
	ssize_t len = -1;

	if (client->fd < 0)
		return 0;
	if (world->crowd.kind != CROWD_NO_READING) {
		len = recv(client->fd, bytes, sizeof(bytes), 0);
		if (len == 0 ||
		    (len < 0 && errno != EAGAIN && errno != ENOTCONN)) {
			(void)close(client->fd);
			client->fd = -1;
			return 0;
		}
	}
	while (sum < piece) {
		size_t left;
		const char *data = next_bytes(world, client, &left);

		if (left > piece - sum)
			left = piece - sum;
		len =
		    left == 0 ? 0 : send(client->fd, data, left, MSG_NOSIGNAL);
		if (len <= 0)
			break;
		client->offset += (size_t)len;
		sum += (size_t)len;
	}
	return sum;
}

static void
step(world_t *world)
{
	step_stub(world);
	entry_fixture_run_ms(world->fixture, STEP_MS);
	watch(world);
}

static void
run_crowd(world_t *world)
{
	uint64_t start_ms = at_clock_now_ms();
	uint64_t progress_ms = start_ms;
	uint64_t now_ms = start_ms;
	size_t i;

	while (now_ms < progress_ms + QUIET_MS &&
	       now_ms < start_ms + CROWD_MAX_MS) {
		size_t sum = 0;

		for (i = 0; i < world->crowd.clients; i++)
			sum += step_client(world, &world->clients[i]);
		step(world);
		now_ms = at_clock_now_ms();
		if (sum > 0)
			progress_ms = now_ms;
		cr_assert(is_alive(world), "the process has ended");
	}
}

/* Callers repeat a request that was refused. Returns the last status. */
static int
call_until_served(world_t *world, uint64_t limit_ms)
{
	const entry_fixture_request_t request = {
	    "POST", "/once/y", "ordinary", ENTRY_FIXTURE_KEY, "m0", "prompt"};
	uint64_t start_ms = at_clock_now_ms();
	int status = 0;

	while (status != 200 && at_clock_now_ms() < start_ms + limit_ms) {
		entry_fixture_response_t response;
		uint64_t due_ms;

		entry_fixture_send(world->fixture, 0, &request, &response);
		while (!response.done)
			step(world);
		status = response.status;
		entry_fixture_response_free(&response);
		due_ms = at_clock_now_ms() + REPEAT_MS;
		while (status != 200 && at_clock_now_ms() < due_ms)
			step(world);
	}
	return status;
}

static void
world_delete(world_t *world)
{
	char path[PATH_SIZE];
	size_t i;

	(void)kill(world->pid, SIGKILL);
	(void)waitpid(world->pid, NULL, 0);
	started = 0;
	for (i = 0; i < world->crowd.clients; i++) {
		if (world->clients[i].fd >= 0)
			(void)close(world->clients[i].fd);
	}
	for (i = 0; i < world->stub_count; i++)
		(void)close(world->stub_connections[i].fd);
	if (world->crowd.stub != STUB_NONE)
		(void)close(world->stub_fd);
	entry_fixture_delete(world->fixture);
	(void)snprintf(path, sizeof(path), "%s/log", world->folder);
	(void)unlink(path);
	(void)unlink(world->conf);
	(void)rmdir(world->folder);
	free(world->block);
	free(world->stub_block);
	free(world);
}

static void
apply_config(entry_fixture_t *fixture)
{
	static const standin_route_t routes[] = {
	    {"/unsafe/", "unsafe", "plain", 1, 0},
	    {"/once/", "streaming", "llm", 1, 0}};
	json_t *config = standin_config_spec(3, ENTRY_FIXTURE_HOST, routes,
	    sizeof(routes) / sizeof(routes[0]), "studio", ENTRY_FIXTURE_KEY);

	json_object_set_new(config, "limits",
	    json_pack("{s:i}", "max_body_bytes", BODY_MAX_BYTES));
	standin_store_put(
	    fixture->store, WIRE_KIND_CONFIG, WIRE_CONFIG_NAME, config);
}

static void
run(const crowd_t *kind)
{
	world_t *world = calloc(1, sizeof(*world));
	const crowd_t *crowd = &world->crowd;
	size_t idle_kb;
	size_t i;
	int status;

	wait_for_turn();
	world->memory_kb =
	    number_of("MEMORY_LIMITS_MB", MEMORY_MB) * (size_t)1024;
	world->descriptors = number_of("MEMORY_LIMITS_FDS", DESCRIPTORS);
	world->crowd = *kind;
	world->crowd.clients *= number_of("MEMORY_LIMITS_TIMES", 1);
	world->crowd.complete *= number_of("MEMORY_LIMITS_TIMES", 1);
	cr_assert_leq(world->crowd.clients, CLIENTS_MAX);
	world->fixture = entry_fixture_new();
	apply_config(world->fixture);
	(void)entry_fixture_add_engine(world->fixture, "m0");
	if (crowd->stub == STUB_NONE || crowd->stub == STUB_STREAM)
		(void)entry_fixture_add_service(world->fixture);
	if (crowd->stub != STUB_NONE)
		prepare_stub(world);
	start_process(world);
	cr_assert_eq(call_until_served(world, READY_MAX_MS), 200);
	idle_kb = status_kb(world->pid, "VmRSS:");
	prepare_block(world);
	for (i = 0; i < crowd->clients; i++)
		prepare_client(world, i);
	run_crowd(world);
	status = call_until_served(world, SERVED_MAX_MS);
	cr_expect_eq(status, 200, "an ordinary request gets %d", status);
	cr_expect(is_alive(world), "the process has ended");
	cr_expect_leq(world->peak_descriptors, world->descriptors,
	    "%zu descriptors are open", world->peak_descriptors);
	cr_log_info("idle %zu kB, peak %zu kB, resident alone %zu kB, "
		    "%zu descriptors",
	    idle_kb, world->peak_kb, status_kb(world->pid, "VmHWM:"),
	    world->peak_descriptors);
	if (has_plain_memory()) {
		cr_expect_leq(world->peak_kb, world->memory_kb,
		    "%zu kB are resident or unread of %zu", world->peak_kb,
		    world->memory_kb);
		cr_expect_leq(status_kb(world->pid, "VmHWM:"), world->memory_kb,
		    "%zu kB were resident of %zu",
		    status_kb(world->pid, "VmHWM:"), world->memory_kb);
	}
	world_delete(world);
}

#define CROWD_TEST(name, ...)                                          \
	Test(memory_limits, name, .timeout = 280, .fini = end_process) \
	{                                                              \
		static const crowd_t crowd = {__VA_ARGS__};            \
		run(&crowd);                                           \
	}

/* Each body was kept whole, with room to grow; nothing bounded their sum. */
CROWD_TEST(whole_bodies, .kind = CROWD_LENGTH, .clients = 32, .complete = 4,
    .length = 4000000, .sent = 3999999, .piece = 4000000)
CROWD_TEST(bodies_in_pieces, .kind = CROWD_LENGTH, .clients = 32, .complete = 4,
    .length = 4000000, .sent = 3999999, .piece = 65536)
CROWD_TEST(large_chunks, .kind = CROWD_CHUNKED, .clients = 32, .complete = 4,
    .sent = 3 * 1000009, .piece = 262144, .chunk = 1000000)
CROWD_TEST(one_byte_chunks, .kind = CROWD_CHUNKED, .clients = 32, .complete = 4,
    .sent = 600000, .piece = 60000, .chunk = 1)
/* A body over the limit is not needed, and was kept up to the limit. */
CROWD_TEST(announced_too_large, .kind = CROWD_LENGTH, .clients = 32,
    .length = 1000000000, .sent = 4000000, .piece = 262144)
CROWD_TEST(unannounced_too_large, .kind = CROWD_CHUNKED, .clients = 32,
    .sent = 12000000, .piece = 262144, .chunk = 65536)
CROWD_TEST(headers_without_end, .kind = CROWD_HEADERS, .clients = 400,
    .sent = 1000000, .piece = 16384)
CROWD_TEST(silent_connections, .kind = CROWD_SILENT, .clients = 400)
/* Responses were kept up to a fixed sum, and copied to be sent. */
CROWD_TEST(unread_responses, .kind = CROWD_NO_READING, .stub = STUB_LARGE,
    .clients = 32, .complete = 32, .length = 2, .sent = 2, .piece = 65536)
CROWD_TEST(unread_streams, .kind = CROWD_NO_READING, .stub = STUB_STREAM,
    .clients = 32, .complete = 32, .length = 2, .sent = 2, .piece = 65536)
/* Each attempt had a copy of the body. */
CROWD_TEST(servers_that_do_not_read, .kind = CROWD_LENGTH,
    .stub = STUB_NO_READING, .clients = 32, .complete = 32, .length = 3000000,
    .sent = 3000000, .piece = 262144)
