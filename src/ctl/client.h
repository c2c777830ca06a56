/*
 * client.h - blocking HTTP calls of the operators' program.
 */
#ifndef ALMONDTHREAD_CTL_CLIENT_H
#define ALMONDTHREAD_CTL_CLIENT_H

#include "almondthread/status.h"
#include "almondthread/units.h"

/* One answer; the body is NUL-terminated and freed by client_answer_free(). */
typedef struct client_answer {
	long http_status;
	uint64_t version; /* of the X-Version header, or 0 */
	char *body;
	size_t len;
} client_answer_t;

/*
 * client_call() sends one request to "ip:port" and waits at most
 * CLIENT_TOTAL_MS. expect_version is sent when it is not NULL.
 * Returns AT_OK with any HTTP status, or AT_UNAVAILABLE; *sent then tells
 * whether the call may have taken effect.
 */
at_code_t client_call(const char *method, const char *address, const char *path,
    const uint64_t *expect_version, const void *body, size_t len,
    client_answer_t *answer, int *sent, at_status_t *status);
void client_answer_free(client_answer_t *answer);

#endif
