/*
 * httpd_connections.c - the connections of callers: which are idle, which of
 * them are closed when there are too many, and which have taken too long.
 */
#include "io/httpd_private.h"

#include <linux/sockios.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define EXPIRING_TIMEOUT_S 1u
/* Part of the connections beyond which those that are idle are closed. */
#define CROWDED_PERCENT 75u
#define PERCENT 100u
/* Connections that libmicrohttpd accepts in one run. */
#define ACCEPTED_PER_RUN 10u
/* Part of the connections that is kept free for new ones, at most. */
#define FREE_PART 4u
/* Between two searches after one that found no connection to close. */
#define SEARCH_INTERVAL_S 0.05
/* Charged to the memory account; what it holds beyond that is measured. */
#define CONNECTION_BYTES (8u * 1024)

static void
set_timeout(const connection_t *connection, unsigned int timeout_s)
{
	(void)MHD_set_connection_option(
	    connection->handle, MHD_CONNECTION_OPTION_TIMEOUT, timeout_s);
}

static void
set_expiring(at_httpd_t *httpd, connection_t *connection, int is_expiring)
{
	if (connection->is_expiring == is_expiring)
		return;
	connection->is_expiring = is_expiring;
	httpd->expiring_count += is_expiring ? 1u : SIZE_MAX;
	set_timeout(connection,
	    is_expiring ? EXPIRING_TIMEOUT_S : CONNECTION_IDLE_TIMEOUT_S);
}

static connection_t *
connection_of(struct MHD_Connection *handle)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(handle, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info->socket_context;
}

void
httpd_set_request(at_httpd_t *httpd, struct MHD_Connection *handle,
    at_httpd_request_t *request)
{
	connection_t *connection = connection_of(handle);
	int was_idle;

	if (connection == NULL)
		return;
	was_idle = connection->request == NULL;
	connection->request = request;
	if (was_idle == (request == NULL))
		return;
	if (request != NULL) {
		/* The buffer for headers is mapped, and stays so. */
		if (!connection->was_used)
			at_memory_add(httpd->memory, AT_MEMORY_CONNECTIONS,
			    CONNECTION_MEMORY_BYTES);
		connection->was_used = 1;
		connection->unsent_at = 0.;
		TAILQ_REMOVE(&httpd->idle, connection, idle);
		set_expiring(httpd, connection, 0);
		return;
	}
	connection->idle_since = ev_now(httpd->loop);
	TAILQ_INSERT_TAIL(&httpd->idle, connection, idle);
	if (httpd->is_closing_idle)
		set_expiring(httpd, connection, 1);
}

static void
add_connection(
    at_httpd_t *httpd, struct MHD_Connection *handle, void **socket_cls)
{
	connection_t *connection = calloc(1, sizeof(*connection));

	*socket_cls = connection;
	if (connection == NULL)
		return;
	connection->handle = handle;
	httpd_widen_buffer(httpd, httpd_fd(handle));
	connection->idle_since = ev_now(httpd->loop);
	at_memory_add(httpd->memory, AT_MEMORY_CONNECTIONS, CONNECTION_BYTES);
	httpd->connection_count++;
	TAILQ_INSERT_TAIL(&httpd->connections, connection, all);
	TAILQ_INSERT_TAIL(&httpd->idle, connection, idle);
}

static void
remove_connection(at_httpd_t *httpd, connection_t *connection)
{
	at_memory_sub(httpd->memory, AT_MEMORY_CONNECTIONS,
	    CONNECTION_BYTES +
		(connection->was_used ? CONNECTION_MEMORY_BYTES : 0));
	/* libmicrohttpd accepts again in a run that begins below the limit. */
	if (httpd->connection_count-- >= httpd->connections_max)
		httpd->is_run_pending = 1;
	httpd->expiring_count -= (size_t)connection->is_expiring;
	httpd->closing_count -= (size_t)connection->is_closed;
	TAILQ_REMOVE(&httpd->connections, connection, all);
	if (connection->request == NULL)
		TAILQ_REMOVE(&httpd->idle, connection, idle);
	free(connection);
}

void
httpd_on_connection(void *cls, struct MHD_Connection *handle, void **socket_cls,
    enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		add_connection(cls, handle, socket_cls);
	} else if (*socket_cls != NULL) {
		remove_connection(cls, *socket_cls);
		*socket_cls = NULL;
	}
}

static size_t
crowded_count(const at_httpd_t *httpd)
{
	return httpd->connections_max * CROWDED_PERCENT / PERCENT;
}

int
httpd_is_crowded(const at_httpd_t *httpd)
{
	return httpd->connection_count > crowded_count(httpd);
}

void
httpd_close_longest_idle(at_httpd_t *httpd)
{
	size_t remaining = httpd->connection_count - httpd->expiring_count;
	connection_t *connection;

	for (connection = TAILQ_FIRST(&httpd->idle); connection != NULL;
	     connection = TAILQ_NEXT(connection, idle)) {
		if (remaining <= crowded_count(httpd))
			break;
		if (connection->is_expiring)
			continue;
		set_expiring(httpd, connection, 1);
		remaining--;
	}
}

void
at_httpd_close_idle(at_httpd_t *httpd)
{
	connection_t *connection;

	for (connection = TAILQ_FIRST(&httpd->idle); connection != NULL;
	     connection = TAILQ_NEXT(connection, idle))
		set_expiring(httpd, connection, 1);
	httpd->is_closing_idle = 1;
	httpd->is_run_pending = 1;
}

int
httpd_fd(struct MHD_Connection *handle)
{
	return MHD_get_connection_info(
	    handle, MHD_CONNECTION_INFO_CONNECTION_FD)
	    ->connect_fd;
}

uint64_t
httpd_ms_since(const at_httpd_t *httpd, double since_s)
{
	double age_s = ev_now(httpd->loop) - since_s;

	return age_s <= 0. ? 0 : (uint64_t)(age_s * AT_MS_PER_S);
}

size_t
httpd_queued_bytes(struct MHD_Connection *handle, unsigned long queue)
{
	int bytes = 0;

	return ioctl(httpd_fd(handle), queue, &bytes) == 0 && bytes > 0
		   ? (size_t)bytes
		   : 0;
}

void
httpd_shut_down(at_httpd_t *httpd, connection_t *connection)
{
	/* The kernel would keep trying to send the rest to a silent caller. */
	const struct linger at_once = {.l_onoff = 1};
	int fd = httpd_fd(connection->handle);

	if (!connection->is_closed)
		httpd->closing_count++;
	connection->is_closed = 1;
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	(void)shutdown(fd, SHUT_RDWR);
	httpd->is_run_pending = 1;
}

void
httpd_shut_down_request(at_httpd_request_t *request)
{
	connection_t *connection = connection_of(request->connection);

	at_httpd_stream_abort(request);
	if (connection != NULL)
		httpd_shut_down(request->httpd, connection);
}

static int
has_unread(const connection_t *connection)
{
	return httpd_queued_bytes(connection->handle, FIONREAD) > 0;
}

/* Returns non-zero if the caller makes no progress with the last response. */
static int
has_stopped_reading(const at_httpd_t *httpd, connection_t *connection)
{
	size_t unsent = httpd_queued_bytes(connection->handle, SIOCOUTQ);

	if (unsent == 0)
		return 1;
	if (connection->unsent_at == 0. ||
	    unsent + AT_MEMORY_PROGRESS_BYTES <= connection->unsent_bytes) {
		connection->unsent_bytes = unsent;
		connection->unsent_at = ev_now(httpd->loop);
	}
	return httpd_ms_since(httpd, connection->unsent_at) >=
	       AT_MEMORY_STALLED_MS;
}

int
httpd_may_close_idle(const at_httpd_t *httpd, connection_t *connection)
{
	return !connection->is_closed && !has_unread(connection) &&
	       has_stopped_reading(httpd, connection);
}

/*
 * Returns the one without a request for the longest time, or NULL. A request
 * comes right behind its connection: one that has had none does not stay, as
 * those that wait to be accepted would be shut out by clients that return.
 */
static connection_t *
find_longest_idle(const at_httpd_t *httpd)
{
	connection_t *connection;

	TAILQ_FOREACH(connection, &httpd->idle, idle)
	{
		if ((!connection->was_used ||
			httpd_ms_since(httpd, connection->idle_since) >=
			    httpd->give_way_ms) &&
		    httpd_may_close_idle(httpd, connection))
			return connection;
	}
	return NULL;
}

/* Returns the request that waits for its caller for the longest time. */
static connection_t *
find_longest_waiting(const at_httpd_t *httpd)
{
	at_httpd_request_t *request;
	connection_t *found = NULL;

	for (request = httpd->requests; request != NULL;
	     request = request->next) {
		connection_t *connection;

		if (!httpd_waits_for_caller(request) ||
		    httpd_ms_since(httpd, request->progressed_at) <
			httpd->give_way_ms ||
		    (found != NULL && request->progressed_at >=
					  found->request->progressed_at))
			continue;
		connection = connection_of(request->connection);
		if (connection == NULL || connection->is_closed ||
		    connection->request != request ||
		    (request->state == REQUEST_READING &&
			has_unread(connection)))
			continue;
		found = connection;
	}
	return found;
}

/* Returns how many connections may be open before some give way. */
static size_t
filled_count(const at_httpd_t *httpd)
{
	size_t spare = httpd->connections_max / FREE_PART;

	if (spare > ACCEPTED_PER_RUN)
		spare = ACCEPTED_PER_RUN;
	return httpd->connections_max - spare;
}

void
httpd_make_room(at_httpd_t *httpd)
{
	if (ev_now(httpd->loop) < httpd->next_search_at)
		return;
	while (httpd->connection_count - httpd->closing_count >
	       filled_count(httpd)) {
		connection_t *connection = find_longest_idle(httpd);

		if (connection == NULL)
			connection = find_longest_waiting(httpd);
		if (connection == NULL) {
			httpd->next_search_at =
			    ev_now(httpd->loop) + SEARCH_INTERVAL_S;
			return;
		}
		httpd->gave_way_total++;
		if (connection->request != NULL)
			httpd_shut_down_request(connection->request);
		else
			httpd_shut_down(httpd, connection);
	}
}

static int
are_headers_late(const at_httpd_request_t *request)
{
	return request->is_heading && request->httpd->header_timeout_ms != 0 &&
	       httpd_ms_since(request->httpd, request->started_at) >
		   request->httpd->header_timeout_ms;
}

void
httpd_close_late(at_httpd_t *httpd)
{
	at_httpd_request_t *request;

	for (request = httpd->requests; request != NULL;
	     request = request->next) {
		const connection_t *connection;
		int are_headers = are_headers_late(request);

		if (request->state != REQUEST_READING ||
		    request->is_body_paused ||
		    (!are_headers && !httpd_is_body_late(request)))
			continue;
		/* This process has stood still, not the caller. */
		connection = connection_of(request->connection);
		if (connection == NULL || connection->is_closed ||
		    has_unread(connection))
			continue;
		if (are_headers)
			httpd->late_headers_total++;
		else if (httpd->on_body_timeout != NULL)
			httpd->on_body_timeout(httpd->body_timeout_ctx);
		httpd_drop_body(request);
		httpd_shut_down_request(request);
	}
}
