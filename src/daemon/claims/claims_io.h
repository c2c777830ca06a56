/*
 * claims_io.h - the claim ledger in the daemon: requests of `once` routes
 * that came with an idempotency key are claimed before they are exchanged
 * and settled after.
 */
#ifndef ALMONDTHREAD_DAEMON_CLAIMS_IO_H
#define ALMONDTHREAD_DAEMON_CLAIMS_IO_H

#include "almondthread/claims.h"
#include "daemon/requests/exchange.h"

#define AT_IDEMPOTENCY_KEY_MAX 120u /* bytes */

at_claims_io_t *at_claims_io_new(at_node_t *node);
/* at_claims_io_init() takes the node's store and incarnation. */
void at_claims_io_init(at_claims_io_t *io);
/* The platform must have dropped its calls, the callers their requests. */
void at_claims_io_delete(at_claims_io_t *io);

/*
 * at_claims_io_start() runs a request of a route and answers the caller:
 * what may not be repeated and came with a key goes through the ledger, all
 * else straight to the exchange.
 */
void at_claims_io_start(at_claims_io_t *io, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, const at_route_t *route);

/* at_claims_io_unsettled() counts what is not yet recorded. */
size_t at_claims_io_unsettled(const at_claims_io_t *io);

/* at_claims_io_ledger() returns the ledger, for other parts that claim. */
at_claims_t *at_claims_io_ledger(at_claims_io_t *io);

/*
 * at_claims_io_wake() has the ledger's timer run until nothing is pending;
 * call it after each request to the ledger.
 */
void at_claims_io_wake(at_claims_io_t *io);

/* at_claims_io_hash() gives the claim key and digest of a request. */
void at_claims_io_hash(const at_exchange_spec_t *spec, const char *route,
    at_claim_hash_t *key, at_claim_hash_t *digest);

/* at_claims_io_end() records how the request of a held claim ended. */
void at_claims_io_end(
    at_claims_io_t *io, at_claim_t *claim, const at_exchange_end_t *end);

/*
 * at_claims_io_response() reads a stored answer, which end borrows. Returns 0,
 * or -1 when only its status was kept.
 */
int at_claims_io_response(
    const at_claim_result_t *result, at_exchange_end_t *end);

#endif
