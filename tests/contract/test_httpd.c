/*
 * An HTTP server may be deleted at any time: while requests wait for their
 * response, and with requests in its sockets that it has not read yet.
 */
#include <string.h>
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
