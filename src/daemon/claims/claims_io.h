/*
 * claims_io.h - runs requests under a claim. A request that has an idempotency
 * key, on a route whose requests may run only once, is claimed in the ledger
 * before it runs, and the claim is settled when it has ended.
 */
#ifndef ALMONDTHREAD_DAEMON_CLAIMS_IO_H
#define ALMONDTHREAD_DAEMON_CLAIMS_IO_H

#include "almondthread/claims.h"
#include "daemon/requests/exchange.h"

#define AT_IDEMPOTENCY_KEY_MAX_BYTES 120u

/* at_claims_io_new() borrows node. Returns NULL if out of memory. */
at_claims_io_t *at_claims_io_new(at_node_t *node);
/* at_claims_io_init() is called when node has its store and incarnation. */
void at_claims_io_init(at_claims_io_t *io);
/*
 * at_claims_io_delete() is called when the platform and the HTTP server for
 * callers have been deleted, so that no callback can follow.
 */
void at_claims_io_delete(at_claims_io_t *io);

/*
 * at_claims_io_start() runs a request of a route and sends the response to the
 * caller: under a claim if the request may run only once and has an idempotency
 * key, else directly. A request whose key is longer than
 * AT_IDEMPOTENCY_KEY_MAX_BYTES is refused.
 */
void at_claims_io_start(at_claims_io_t *io, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, const at_route_t *route);

/*
 * at_claims_io_unsettled_count() returns the number of claims whose requests
 * have ended but whose ends are not yet stored.
 */
size_t at_claims_io_unsettled_count(const at_claims_io_t *io);

/* at_claims_io_ledger() returns the ledger, which io owns. */
at_claims_t *at_claims_io_ledger(at_claims_io_t *io);

/*
 * at_claims_io_wake() starts the timer that processes the ledger until nothing
 * is pending; call it after each request to the ledger.
 */
void at_claims_io_wake(at_claims_io_t *io);

/*
 * at_claims_io_hash() computes the claim key of a request, from its workspace,
 * target, method, idempotency key and route, and the digest of its path and
 * body. route is the path of the route that was matched.
 */
void at_claims_io_hash(const at_exchange_spec_t *spec, const char *route,
    at_claim_hash_t *key, at_claim_hash_t *digest);

/*
 * at_claims_io_note_ended() stores the response of a request that ran, releases
 * the claim of one that did not run, and abandons the claim if it is not known
 * whether the request ran.
 */
void at_claims_io_note_ended(
    at_claims_io_t *io, at_claim_t *claim, const at_exchange_end_t *end);

/*
 * at_claims_io_response() reads a stored response; end borrows its texts from
 * result. Returns 0, or -1 if only the HTTP status was stored.
 */
int at_claims_io_response(
    const at_claim_result_t *result, at_exchange_end_t *end);

#endif
