/*
 * An HTTP server may be deleted at any time: while requests wait for their
 * response, and with requests in its sockets that it has not read yet. What it
 * closes for others takes no response from a caller that reads it.
 */
#include <errno.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <sodium.h>

#include "io/address.h"
#include "io/httpd.h"

#define REQUESTS 4u /* that wait; as many arrive while the server stops */

/* Counts a request and does not respond to it. */
static void
count_request(void *ctx, at_httpd_request_t *request)
{
	(void)request;
	(*(unsigned int *)ctx)++;
}

static int
connect_to(uint16_t port)
{
	struct sockaddr_in addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_eq(at_address_parse("127.0.0.1:0", &addr), 0);
	addr.sin_port = htons(port);
	cr_assert_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	return fd;
}

static void
send_request(int fd)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

	cr_assert_eq(
	    send(fd, text, sizeof(text) - 1, 0), (ssize_t)sizeof(text) - 1);
}

Test(httpd, deleted_while_requests_wait_and_arrive)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	at_httpd_t *httpd = at_httpd_new(loop);
	at_status_t status;
	unsigned int handled = 0;
	int fds[2 * REQUESTS];
	char byte;
	size_t i;

	cr_assert_geq(sodium_init(), 0);
	at_httpd_set_handler(httpd, count_request, &handled);
	cr_assert_eq(at_httpd_init(httpd, "127.0.0.1:0", &status), AT_OK);
	/* All are accepted before the second half sends its requests. */
	for (i = 0; i < 2 * REQUESTS; i++)
		fds[i] = connect_to(at_httpd_port(httpd));
	for (i = REQUESTS; i < 2 * REQUESTS; i++)
		send_request(fds[i]);
	while (handled < REQUESTS)
		(void)ev_run(loop, EVRUN_ONCE);
	/*
	 * The event loop does not run again, but libmicrohttpd would read these
	 * while it stops.
	 */
	for (i = 0; i < REQUESTS; i++)
		send_request(fds[i]);
	at_httpd_delete(httpd);
	cr_assert_eq(handled, REQUESTS);
	for (i = 0; i < 2 * REQUESTS; i++) {
		cr_assert_leq(recv(fds[i], &byte, 1, 0), 0);
		(void)close(fds[i]);
	}
	ev_loop_destroy(loop);
}

#define RESPONSE_BYTES (16u << 20) /* more than the sockets buffer */
#define SILENCE_S 1.6              /* over the idle time of a stop */

/* What happens for SILENCE_S after at_httpd_close_idle(). */
typedef enum silence {
	HANDLER_IS_SILENT,
	STREAM_IS_SILENT,
	CALLER_DOES_NOT_READ
} silence_t;

static const struct {
	const char *name;
	silence_t silence;
	size_t len; /* of the whole response, without headers and chunks */
} silences[] = {
    {"the response is not ready", HANDLER_IS_SILENT, 4},
    {"the stream pauses", STREAM_IS_SILENT, 8},
    {"the caller reads slowly", CALLER_DOES_NOT_READ, RESPONSE_BYTES},
};

/* Keeps the request, for the test to respond to. */
static void
keep_request(void *ctx, at_httpd_request_t *request)
{
	*(at_httpd_request_t **)ctx = request;
}

static void
on_time_over(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
run_for(struct ev_loop *loop, double time_s)
{
	ev_timer timer;

	ev_timer_init(&timer, on_time_over, time_s, 0.);
	ev_timer_start(loop, &timer);
	(void)ev_run(loop, 0);
}

/* Reads until the connection ends; returns the bytes without the headers. */
static size_t
read_response(struct ev_loop *loop, int fd)
{
	static char text[RESPONSE_BYTES + 4096];
	const char *body;
	size_t len = 0;
	int i;

	for (i = 0; i < 200; i++) {
		ssize_t got =
		    recv(fd, text + len, sizeof(text) - 1 - len, MSG_DONTWAIT);

		if (got == 0)
			break;
		if (got > 0)
			len += (size_t)got;
		run_for(loop, 0.005);
	}
	text[len] = '\0';
	body = strstr(text, "\r\n\r\n");
	return body == NULL ? 0 : len - (size_t)(body + 4 - text);
}

static void
run_silence(size_t i)
{
	static char body[RESPONSE_BYTES];
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	at_httpd_t *httpd = at_httpd_new(loop);
	at_httpd_request_t *request = NULL;
	at_status_t status;
	size_t len;
	int fd;

	at_httpd_set_handler(httpd, keep_request, &request);
	cr_assert_eq(at_httpd_init(httpd, "127.0.0.1:0", &status), AT_OK);
	fd = connect_to(at_httpd_port(httpd));
	send_request(fd);
	while (request == NULL)
		(void)ev_run(loop, EVRUN_ONCE);
	at_httpd_stop_accepting(httpd);
	if (silences[i].silence == STREAM_IS_SILENT) {
		at_httpd_stream_begin(request, 200, NULL);
		(void)at_httpd_stream_write(request, "data", 4);
	} else if (silences[i].silence == CALLER_DOES_NOT_READ) {
		at_httpd_reply(request, 200, NULL, body, sizeof(body));
	}
	run_for(loop, 0.05);
	at_httpd_close_idle(httpd);
	run_for(loop, SILENCE_S);
	if (silences[i].silence == HANDLER_IS_SILENT) {
		at_httpd_reply(request, 200, NULL, "data", 4);
	} else if (silences[i].silence == STREAM_IS_SILENT) {
		(void)at_httpd_stream_write(request, "data", 4);
		at_httpd_stream_end(request);
	}
	len = read_response(loop, fd);
	if (silences[i].silence == STREAM_IS_SILENT)
		len -= sizeof("4\r\n\r\n4\r\n\r\n0\r\n\r\n") - 1;
	cr_expect_eq(len, silences[i].len, "%s: %zu bytes of %zu",
	    silences[i].name, len, silences[i].len);
	(void)close(fd);
	at_httpd_delete(httpd);
	ev_loop_destroy(loop);
}

/* Only connections without a request are idle. */
Test(httpd, closing_idle_connections_cuts_no_response)
{
	size_t i;

	cr_assert_geq(sodium_init(), 0);
	for (i = 0; i < sizeof(silences) / sizeof(silences[0]); i++)
		run_silence(i);
}

static const at_header_t no_headers[] = {{NULL, NULL}};

/* Responds at once, so that the connection is kept. */
static void
respond(void *ctx, at_httpd_request_t *request)
{
	(*(unsigned int *)ctx)++;
	at_httpd_reply(request, 200, no_headers, "", 0);
}

static int
is_closed(int fd)
{
	char text[512];
	ssize_t got;

	do
		got = recv(fd, text, sizeof(text), MSG_DONTWAIT);
	while (got > 0);
	return got == 0;
}

/* The second one has had a request. */
Test(httpd, an_idle_connection_is_closed_at_a_stop)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	at_httpd_t *httpd = at_httpd_new(loop);
	at_status_t status;
	unsigned int handled = 0;
	int fds[2];
	int i;

	cr_assert_geq(sodium_init(), 0);
	at_httpd_set_handler(httpd, respond, &handled);
	cr_assert_eq(at_httpd_init(httpd, "127.0.0.1:0", &status), AT_OK);
	for (i = 0; i < 2; i++)
		fds[i] = connect_to(at_httpd_port(httpd));
	send_request(fds[1]);
	while (handled == 0)
		(void)ev_run(loop, EVRUN_ONCE);
	run_for(loop, 0.05);
	cr_assert_not(is_closed(fds[0]));
	cr_assert_not(is_closed(fds[1]));
	at_httpd_close_idle(httpd);
	run_for(loop, 2.2);
	for (i = 0; i < 2; i++) {
		cr_expect(is_closed(fds[i]), "connection %d", i);
		(void)close(fds[i]);
	}
	at_httpd_delete(httpd);
	ev_loop_destroy(loop);
}

#define BACKLOG 16
#define CONNECTING 100

/* An instance that was behind accepted callers long after they had left. */
Test(httpd, connections_beyond_the_backlog_are_not_accepted)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	at_httpd_t *httpd = at_httpd_new(loop);
	struct pollfd fds[CONNECTING];
	struct sockaddr_in addr;
	at_status_t status;
	unsigned int handled = 0;
	int connected = 0;
	size_t i;

	at_httpd_set_handler(httpd, count_request, &handled);
	at_httpd_set_backlog(httpd, BACKLOG);
	cr_assert_eq(at_httpd_init(httpd, "127.0.0.1:0", &status), AT_OK);
	cr_assert_eq(at_address_parse("127.0.0.1:0", &addr), 0);
	addr.sin_port = htons(at_httpd_port(httpd));
	for (i = 0; i < CONNECTING; i++) {
		fds[i].fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		fds[i].events = POLLOUT;
		(void)connect(
		    fds[i].fd, (const struct sockaddr *)&addr, sizeof(addr));
	}
	(void)poll(fds, CONNECTING, 100);
	for (i = 0; i < CONNECTING; i++) {
		connected += (fds[i].revents & POLLOUT) != 0;
		(void)close(fds[i].fd);
	}
	cr_assert_geq(connected, BACKLOG);
	/* Linux takes one more than it was told. */
	cr_assert_leq(connected, BACKLOG + 1);
	at_httpd_delete(httpd);
	ev_loop_destroy(loop);
}

#define WAITING_BYTES 16384
#define ACCEPTED_BYTES 262144
#define BODY_BYTES 200000u

/* Returns the bytes of those written that the other end's kernel has. */
static size_t
acknowledged_bytes(int fd, size_t written)
{
	int unsent = 0;

	cr_assert_eq(ioctl(fd, SIOCOUTQ, &unsent), 0);
	return written - (size_t)unsent;
}

/* Sends as much of a body as the kernel takes. Returns the bytes taken. */
static size_t
send_some(int fd, size_t left)
{
	static const char body[BODY_BYTES];
	ssize_t len = send(fd, body, left, MSG_DONTWAIT);

	return len > 0 ? (size_t)len : 0;
}

/* Connections that wait took an eighth of the memory, 67 of them. */
Test(httpd, a_connection_receives_little_before_it_is_accepted)
{
	static const char head[] =
	    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n";
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	at_httpd_t *httpd = at_httpd_new(loop);
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);
	at_status_t status;
	unsigned int handled = 0;
	size_t sent;
	int fd;
	int i;

	cr_assert_geq(sodium_init(), 0);
	at_httpd_set_handler(httpd, respond, &handled);
	at_httpd_set_socket_buffers(httpd, ACCEPTED_BYTES, 0);
	at_httpd_set_waiting_buffer(httpd, WAITING_BYTES);
	cr_assert_eq(at_httpd_init(httpd, "127.0.0.1:0", &status), AT_OK);
	fd = connect_to(at_httpd_port(httpd));
	cr_assert_eq(
	    send(fd, head, sizeof(head) - 1, 0), (ssize_t)sizeof(head) - 1);
	sent = send_some(fd, BODY_BYTES);
	(void)poll(NULL, 0, 300);
	cr_expect_leq(
	    acknowledged_bytes(fd, sizeof(head) - 1 + sent), WAITING_BYTES);
	for (i = 0; i < 200 && handled == 0; i++) {
		run_for(loop, 0.01);
		sent += send_some(fd, BODY_BYTES - sent);
	}
	cr_expect_eq(handled, 1);
	cr_assert_eq(getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len), 0);
	cr_expect_gt(info.tcpi_snd_wnd, 2 * WAITING_BYTES);
	(void)close(fd);
	at_httpd_delete(httpd);
	ev_loop_destroy(loop);
}

#define KERNEL_RESPONSE_BYTES 200000u
#define SEND_BUFFER_BYTES (1u << 20) /* the kernel takes the response whole */
#define RECEIVE_BUFFER_BYTES 4096
#define FEW_CONNECTIONS 8u
#define SILENT 40u /* connections that make others give way */
#define RUN_S 0.2

static void
reply_large(void *ctx, at_httpd_request_t *request)
{
	static char body[KERNEL_RESPONSE_BYTES];

	(void)ctx;
	at_httpd_reply(request, 200, NULL, body, sizeof(body));
}

/* Returns the bytes until the end of the response, or less. */
static size_t
receive_all(struct ev_loop *loop, int fd)
{
	static char bytes[RECEIVE_BUFFER_BYTES];
	size_t sum = 0;
	ssize_t len;

	do {
		run_for(loop, 0.001);
		len = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		sum += len > 0 ? (size_t)len : 0;
	} while (len > 0 ||
		 (len < 0 && errno == EAGAIN && sum < KERNEL_RESPONSE_BYTES));
	return sum;
}

/*
 * A connection whose response the library has written gave way to new ones, and
 * its end took back what the kernel had not sent of the response.
 */
Test(httpd, a_response_is_sent_whole_beside_silent_connections, .timeout = 60)
{
	const int receive_bytes = RECEIVE_BUFFER_BYTES;
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	at_httpd_t *httpd = at_httpd_new(loop);
	at_status_t status;
	int silent[SILENT];
	int fd;
	size_t i;

	cr_assert_geq(sodium_init(), 0);
	at_httpd_set_handler(httpd, reply_large, NULL);
	at_httpd_set_connections_max(httpd, FEW_CONNECTIONS);
	at_httpd_set_give_way(httpd, 0);
	at_httpd_set_socket_buffers(httpd, 0, SEND_BUFFER_BYTES);
	cr_assert_eq(at_httpd_init(httpd, "127.0.0.1:0", &status), AT_OK);
	fd = connect_to(at_httpd_port(httpd));
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
	send_request(fd);
	run_for(loop, RUN_S);
	for (i = 0; i < SILENT; i++)
		silent[i] = connect_to(at_httpd_port(httpd));
	run_for(loop, RUN_S);
	cr_expect_geq(receive_all(loop, fd), KERNEL_RESPONSE_BYTES);
	for (i = 0; i < SILENT; i++)
		(void)close(silent[i]);
	(void)close(fd);
	at_httpd_delete(httpd);
	ev_loop_destroy(loop);
}

#define LIMIT_MS 300u
#define LATE_S 1.2

static const struct {
	const char *name;
	const char *text; /* that a client sends, and no more */
	int is_closed;    /* after the time limits */
} unfinished[] = {
    {"headers", "POST / HTTP/1.1\r\nHost: x\r\nX-Long: ", 1},
    {"a body",
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n12345678", 1},
    {"a chunk",
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
	"9\r\n1234",
	1},
    {"a whole request", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0},
    {"nothing", "", 0},
};

static void
count_timeout(void *ctx)
{
	(*(unsigned int *)ctx)++;
}

/* The limits were looked at when bytes arrived, or not at all. */
Test(httpd, a_request_that_stops_is_closed, .timeout = 60)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	at_httpd_t *httpd = at_httpd_new(loop);
	at_status_t status;
	unsigned int handled = 0;
	unsigned int late_bodies = 0;
	size_t count = sizeof(unfinished) / sizeof(unfinished[0]);
	int fds[sizeof(unfinished) / sizeof(unfinished[0])];
	char byte;
	size_t i;

	cr_assert_geq(sodium_init(), 0);
	at_httpd_set_handler(httpd, count_request, &handled);
	at_httpd_set_header_timeout(httpd, LIMIT_MS);
	at_httpd_set_body_timeout(httpd, LIMIT_MS);
	at_httpd_set_body_timeout_handler(httpd, count_timeout, &late_bodies);
	cr_assert_eq(at_httpd_init(httpd, "127.0.0.1:0", &status), AT_OK);
	for (i = 0; i < count; i++) {
		fds[i] = connect_to(at_httpd_port(httpd));
		cr_assert_eq(send(fds[i], unfinished[i].text,
				 strlen(unfinished[i].text), 0),
		    (ssize_t)strlen(unfinished[i].text));
	}
	run_for(loop, LATE_S);
	for (i = 0; i < count; i++) {
		ssize_t len = recv(fds[i], &byte, 1, MSG_DONTWAIT);
		int is_closed = len == 0 || (len < 0 && errno == ECONNRESET);

		cr_expect_eq(is_closed, unfinished[i].is_closed, "%s",
		    unfinished[i].name);
		(void)close(fds[i]);
	}
	cr_expect_eq(handled, 1);
	cr_expect_eq(late_bodies, 2);
	at_httpd_delete(httpd);
	ev_loop_destroy(loop);
}
