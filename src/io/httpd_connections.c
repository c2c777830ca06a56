/*
 * httpd_connections.c - the connections of callers: which are idle, and which
 * of them are closed when there are too many.
 */
#include "io/httpd_private.h"

#include <stdlib.h>

#define EXPIRING_TIMEOUT_S 1u
/* Part of the connections beyond which those that are idle are closed. */
#define CROWDED_PERCENT 75u
#define PERCENT 100u
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

void
httpd_set_has_request(
    at_httpd_t *httpd, struct MHD_Connection *handle, int has_request)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(handle, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	connection_t *connection = info->socket_context;

	if (connection == NULL || connection->has_request == has_request)
		return;
	connection->has_request = has_request;
	if (has_request) {
		TAILQ_REMOVE(&httpd->idle, connection, idle);
		set_expiring(httpd, connection, 0);
		return;
	}
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
	at_memory_add(httpd->memory, AT_MEMORY_CONNECTIONS, CONNECTION_BYTES);
	httpd->connection_count++;
	TAILQ_INSERT_TAIL(&httpd->connections, connection, all);
	TAILQ_INSERT_TAIL(&httpd->idle, connection, idle);
}

static void
remove_connection(at_httpd_t *httpd, connection_t *connection)
{
	at_memory_sub(httpd->memory, AT_MEMORY_CONNECTIONS, CONNECTION_BYTES);
	/* libmicrohttpd accepts again in a run that begins below the limit. */
	if (httpd->connection_count-- >= httpd->connections_max)
		httpd->is_run_pending = 1;
	httpd->expiring_count -= (size_t)connection->is_expiring;
	TAILQ_REMOVE(&httpd->connections, connection, all);
	if (!connection->has_request)
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
