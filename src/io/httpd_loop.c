/*
 * httpd_loop.c - runs libmicrohttpd from the event loop, and detects callers
 * that close their connection while it is suspended.
 */
#include "io/httpd_private.h"

#include <stdlib.h>

#define RUNS_MAX 16         /* runs of the library per loop iteration */
#define POLL_FDS_GROWTH 64u /* entries added at a time */

static int
grow_poll_arrays(at_httpd_t *httpd)
{
	size_t size = 2 * httpd->poll_size + POLL_FDS_GROWTH;
	struct pollfd *poll_fds =
	    realloc(httpd->poll_fds, size * sizeof(*poll_fds));
	at_httpd_request_t **poll_requests;

	if (poll_fds == NULL)
		return -1;
	httpd->poll_fds = poll_fds;
	poll_requests = realloc(
	    httpd->poll_requests, size * sizeof(struct at_httpd_request *));
	if (poll_requests == NULL)
		return -1;
	httpd->poll_requests = poll_requests;
	httpd->poll_size = size;
	return 0;
}

int
at_httpd_is_caller_gone(const at_httpd_request_t *request)
{
	struct pollfd caller = {
	    .fd = httpd_fd(request->connection), .events = POLLRDHUP};

	return request->caller_closed ||
	       (poll(&caller, 1, 0) > 0 &&
		   (caller.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

/* Polls suspended connections, which libmicrohttpd does not read. */
static void
check_closed_callers(at_httpd_t *httpd)
{
	size_t count = 0;
	size_t i;
	at_httpd_request_t *request;

	for (request = httpd->requests; request != NULL;
	     request = request->next) {
		if (!request->is_suspended || request->caller_closed)
			continue;
		if (count == httpd->poll_size && grow_poll_arrays(httpd) != 0)
			break;
		httpd->poll_fds[count].fd = httpd_fd(request->connection);
		httpd->poll_fds[count].events = POLLRDHUP;
		httpd->poll_requests[count] = request;
		count++;
	}
	if (count == 0 || poll(httpd->poll_fds, count, 0) <= 0)
		return;
	for (i = 0; i < count; i++) {
		short seen = httpd->poll_fds[i].revents;

		request = httpd->poll_requests[i];
		if ((seen & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
			continue;
		request->caller_closed = 1;
		if (request->on_caller_closed != NULL)
			request->on_caller_closed(request->ctx);
		request->state = REQUEST_ABORTED;
		at_httpd_resume(request);
	}
}

static void
on_closed_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	check_closed_callers(timer->data);
	httpd_close_late(timer->data);
	httpd_make_room(timer->data);
}

static void
run_library(at_httpd_t *httpd)
{
	int runs = 0;

	do {
		httpd->is_run_pending = 0;
		httpd_close_longest_idle(httpd);
		httpd_make_room(httpd);
		(void)MHD_run(httpd->daemon);
	} while (httpd->is_run_pending && ++runs < RUNS_MAX);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	at_httpd_t *httpd = io->data;

	(void)loop;
	(void)events;
	httpd->is_run_pending = 1;
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_httpd_t *httpd = timer->data;

	(void)loop;
	(void)events;
	httpd->is_run_pending = 1;
}

/* Before each wait: runs libmicrohttpd if needed, then sets its timeout. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	at_httpd_t *httpd = prepare->data;
	MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

	(void)events;
	if (!httpd->is_run_pending)
		return;
	run_library(httpd);
	ev_timer_stop(loop, &httpd->timeout);
	if (httpd->is_run_pending)
		timeout_ms = 0;
	else if (MHD_get_timeout(httpd->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&httpd->timeout, (double)timeout_ms / AT_MS_PER_S, 0.);
	ev_timer_start(loop, &httpd->timeout);
}

void
httpd_start_watchers(at_httpd_t *httpd)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	double interval_s = (double)httpd->closed_check_ms / AT_MS_PER_S;

	ev_io_init(&httpd->readable, on_readable, info->epoll_fd, EV_READ);
	ev_timer_init(&httpd->timeout, on_timeout, 0., 0.);
	ev_timer_init(
	    &httpd->closed_check, on_closed_check, interval_s, interval_s);
	ev_prepare_init(&httpd->prepare, on_prepare);
	httpd->readable.data = httpd;
	httpd->timeout.data = httpd;
	httpd->closed_check.data = httpd;
	httpd->prepare.data = httpd;
	ev_io_start(httpd->loop, &httpd->readable);
	ev_timer_start(httpd->loop, &httpd->closed_check);
	ev_prepare_start(httpd->loop, &httpd->prepare);
}

void
httpd_stop_watchers(at_httpd_t *httpd)
{
	ev_io_stop(httpd->loop, &httpd->readable);
	ev_timer_stop(httpd->loop, &httpd->timeout);
	ev_timer_stop(httpd->loop, &httpd->closed_check);
	ev_prepare_stop(httpd->loop, &httpd->prepare);
}
