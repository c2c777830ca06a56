/*
 * Requests whose bytes are still in the kernel, because the way to the server
 * is cut or the server does not read, when they end. The server must not
 * receive them later.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "io/address.h"
#include "io/httpc.h"

#define BODY_BYTES 65536u
#define RECEIVE_BUFFER_BYTES 2304 /* what the server takes without reading */
#define SENDING_MS 300u
#define STUCK_MS 2700u
#define READ_TIMEOUT_MS 500u

typedef enum end {
	END_CANCEL,  /* the caller has left, or another attempt has responded */
	END_TIMEOUT, /* no response in time */
	END_STUCK,   /* the request does not arrive */
	END_STOP,    /* the process stops */
	ENDS
} end_t;

static const char *const end_names[ENDS] = {
    "cancel", "timeout", "stuck", "stop"};

typedef struct world {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	at_transfer_t *transfer; /* NULL: it has ended */
	int listener;
	char url[64];
} world_t;

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	(void)result;
	((world_t *)ctx)->transfer = NULL;
}

static void
listen_without_reading(world_t *world)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	const struct timeval timeout = {.tv_usec = READ_TIMEOUT_MS * 1000};
	socklen_t len = sizeof(address);
	int size = RECEIVE_BUFFER_BYTES;

	world->listener = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(
	    world->listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	(void)setsockopt(world->listener, SOL_SOCKET, SO_RCVTIMEO, &timeout,
	    sizeof(timeout));
	cr_assert_eq(
	    bind(world->listener, (struct sockaddr *)&address, sizeof(address)),
	    0);
	cr_assert_eq(listen(world->listener, 1), 0);
	(void)getsockname(world->listener, (struct sockaddr *)&address, &len);
	(void)snprintf(world->url, sizeof(world->url), "http://127.0.0.1:%u/x",
	    ntohs(address.sin_port));
}

static void
stop_loop(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
run_ms(struct ev_loop *loop, uint32_t time_ms)
{
	ev_timer timer;

	ev_timer_init(&timer, stop_loop, time_ms / 1000., 0.);
	ev_timer_start(loop, &timer);
	(void)ev_run(loop, 0);
}

/* Returns how many bytes the server receives before the connection ends. */
static size_t
read_all(const world_t *world)
{
	const struct timeval timeout = {.tv_usec = READ_TIMEOUT_MS * 1000};
	static char buffer[4096];
	int fd = accept(world->listener, NULL, NULL);
	size_t total = 0;
	ssize_t len;

	if (fd < 0)
		return 0;
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	while ((len = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		total += (size_t)len;
	(void)close(fd);
	return total;
}

static void
run_case(end_t end)
{
	static char body[BODY_BYTES];
	world_t world = {.loop = ev_loop_new(0)};
	const at_transfer_events_t events = {.on_done = on_done, .ctx = &world};
	at_transfer_spec_t spec = {.method = "POST",
	    .body = body,
	    .body_len = sizeof(body),
	    .first_byte_ms = end == END_TIMEOUT ? SENDING_MS / 2u : 0};

	listen_without_reading(&world);
	spec.url = world.url;
	world.httpc = at_httpc_new(world.loop);
	world.transfer = at_httpc_start(world.httpc, &spec, &events);
	run_ms(world.loop, end == END_STUCK ? STUCK_MS : SENDING_MS);
	cr_assert_eq(world.transfer == NULL,
	    end == END_TIMEOUT || end == END_STUCK, "%s", end_names[end]);
	if (end == END_CANCEL)
		at_transfer_cancel(world.transfer);
	if (end == END_STOP) {
		at_httpc_delete(world.httpc);
		world.httpc = NULL;
	}
	cr_expect_lt(read_all(&world), BODY_BYTES, "%s", end_names[end]);
	at_httpc_delete(world.httpc);
	(void)close(world.listener);
	ev_loop_destroy(world.loop);
}

/* close() left them to the kernel, which sent them on. */
Test(unsent_bytes, an_ended_request_is_not_delivered_later)
{
	int end;

	for (end = 0; end < ENDS; end++)
		run_case((end_t)end);
}
