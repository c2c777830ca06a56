/*
 * client.h - blocking HTTP calls of almondctl to the platform and to the
 * operators' address of an instance. One call opens one connection; nothing
 * is retried.
 */
#ifndef ALMONDTHREAD_CTL_CLIENT_H
#define ALMONDTHREAD_CTL_CLIENT_H

#include "almondthread/status.h"
#include "almondthread/units.h"

/*
 * A response. The body is NUL-terminated, or NULL when it is empty. It
 * belongs to the response and is released by client_response_free().
 */
typedef struct client_response {
	long http_status;
	uint64_t version; /* from the X-Version header; 0 without one */
	char *body;
	size_t len; /* of body, in bytes */
} client_response_t;

/*
 * client_call() sends one request to address ("IP:PORT") and waits at most
 * CLIENT_TIMEOUT_MS (5 s) for the complete response. expect_version, unless
 * NULL, is sent as X-Expect-Version; body may be NULL.
 *
 * Returns AT_OK when a response arrived, whatever its HTTP status, and
 * AT_UNAVAILABLE otherwise. *sent, unless sent is NULL, is set to 1 when any
 * part of the request was sent, so that it may have taken effect, and to 0
 * otherwise. The caller releases the response in either case.
 */
at_code_t client_call(const char *method, const char *address, const char *path,
    const uint64_t *expect_version, const void *body, size_t len,
    client_response_t *response, int *sent, at_status_t *status);
void client_response_free(client_response_t *response);

#endif
