/*
 * lease.h - the lease of one data centre, so that at most one instance sends
 * orders.
 *
 * The lease is an object of the object API, "lease/DATA-CENTRE", with its
 * holder and a sequence number. The fencing token is the object's version
 * after the write that acquired the lease; renewals keep it.
 *
 * The holder counts its term from when it requested the write. Another instance
 * counts a longer term from when it first read a version that is not renewed.
 * Therefore only the rates of the clocks matter, whose error is at most
 * AT_CLOCK_ERROR_PPM each. An instance that was paused may still act on a check
 * that it made before; orders.h handles that.
 *
 * This state machine does no input or output. at_lease_process() is called
 * at least every AT_LEASE_POLL_MS and after each event and returns the call
 * to make. Its response is passed to at_lease_handle_response(). One call is
 * open at a time.
 */
#ifndef ALMONDTHREAD_LEASE_H
#define ALMONDTHREAD_LEASE_H

#include "almondthread/ports.h"

#define AT_LEASE_TERM_MS 6000u  /* from the request of the holder's write */
#define AT_LEASE_RENEW_MS 1500u /* between two renewals */
#define AT_LEASE_POLL_MS 600u   /* between two reads by another candidate */
/* The same while a release is expected. */
#define AT_LEASE_RELEASE_POLL_MS 100u
/* An order is sent only while at least this much of the term is left. */
#define AT_LEASE_SEND_MARGIN_MS 500u
#define AT_CLOCK_ERROR_PPM 1000u /* largest error of a clock's rate */
#define AT_LEASE_OBJECT "lease/" /* followed by the data centre */
#define AT_LEASE_VALUE_SIZE 256u /* bytes, with the NUL */

typedef enum at_lease_state {
	AT_LEASE_FOLLOWING, /* another instance may be the holder */
	AT_LEASE_HELD,
	/* It sends no more orders; the release is still to be written. */
	AT_LEASE_RELEASING,
	AT_LEASE_RELEASED,
	AT_LEASE_STATE_COUNT
} at_lease_state_t;

extern const char *const at_lease_state_names[];

typedef enum at_lease_call {
	AT_LEASE_NO_CALL,
	AT_LEASE_READ,
	AT_LEASE_WRITE,
	AT_LEASE_CALL_COUNT
} at_lease_call_t;

/* The call to make. value is NUL-terminated, of value_len bytes. */
typedef struct at_lease_action {
	at_lease_call_t call;
	uint64_t expect_version;
	char value[AT_LEASE_VALUE_SIZE];
	size_t value_len;
} at_lease_action_t;

typedef struct at_lease at_lease_t;

/* at_lease_new() returns a lease that is not held, or NULL if out of memory. */
at_lease_t *at_lease_new(void);
void at_lease_set_self(at_lease_t *lease, const at_incarnation_t *self);
/*
 * at_lease_set_candidate() sets whether this instance may acquire the lease.
 * A holder that no longer may lets the lease expire.
 */
void at_lease_set_candidate(at_lease_t *lease, int is_candidate);
/*
 * at_lease_set_term() replaces AT_LEASE_TERM_MS, and AT_LEASE_RENEW_MS in
 * proportion. All instances must use the same term.
 */
void at_lease_set_term(at_lease_t *lease, uint32_t term_ms);
void at_lease_delete(at_lease_t *lease);

/* at_lease_process() stores the call that is due, or AT_LEASE_NO_CALL. */
void at_lease_process(
    at_lease_t *lease, uint64_t now_ms, at_lease_action_t *action);

/* at_lease_handle_response() takes the response of the open call. */
void at_lease_handle_response(
    at_lease_t *lease, uint64_t now_ms, const at_store_result_t *result);

/*
 * at_lease_release() starts to give up the lease: at_lease_is_valid() is
 * false from now on, and another instance may acquire the lease once the
 * object shows the release. This instance must have no order open and send
 * none afterwards.
 */
void at_lease_release(at_lease_t *lease);
/*
 * at_lease_step_down() does the same if the lease is held, but this instance
 * may acquire it again afterwards, as a candidate.
 */
void at_lease_step_down(at_lease_t *lease);

/*
 * at_lease_is_valid() returns non-zero if this instance holds the lease for at
 * least margin_ms more.
 */
int at_lease_is_valid(
    const at_lease_t *lease, uint64_t now_ms, uint32_t margin_ms);

/*
 * at_lease_note_higher_fence() records that an engine has seen a higher fencing
 * token: the lease is lost, even if its term has not ended.
 */
void at_lease_note_higher_fence(at_lease_t *lease, uint64_t now_ms);

/*
 * at_lease_note_released() records that the holder says to release the lease: a
 * candidate reads the object at once, and often until it shows that.
 */
void at_lease_note_released(at_lease_t *lease, uint64_t now_ms);

/*
 * at_lease_note_lost_writes() records that the store has come back without
 * writes that it had acknowledged. The lease is void, and the open call, if
 * any. This instance may acquire it again at once if it held it, as nobody else
 * can have; otherwise when a lease that the store has lost must have ended.
 */
void at_lease_note_lost_writes(at_lease_t *lease, uint64_t now_ms);

/* at_lease_fencing_token() returns 0 when the lease was never held. */
uint64_t at_lease_fencing_token(const at_lease_t *lease);
at_lease_state_t at_lease_state(const at_lease_t *lease);
/* at_lease_holder() returns the last holder read; an empty name if none. */
const at_incarnation_t *at_lease_holder(const at_lease_t *lease);

#endif
