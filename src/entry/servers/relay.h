/*
 * relay.h - passes attempts on for instances that reach no backend server.
 *
 * Such an instance sends the attempt, complete as it would have gone to the
 * server, to another instance's address for reports, over TCP. That instance
 * sends it to the server, once and directly, and passes the response on as it
 * arrives; when the connection of the one closes, so does that of the other.
 * Admission, quota, budgets, the choice of the server and retries remain with
 * the first instance. The other one only sees to what holds for each machine:
 * that the server is listed, does not leave and has not asked it for a pause.
 *
 * The header RELAY_HEADER of the request names the server and has a keyed hash
 * under the fleet's secret of what must not be changed. In the response it
 * tells the server's response from what the other instance says itself.
 */
#ifndef ALMONDTHREAD_ENTRY_RELAY_H
#define ALMONDTHREAD_ENTRY_RELAY_H

#include "almondthread/roster.h"
#include "entry/peers/gossip.h"
#include "entry/servers/reach.h"
#include "entry/servers/server_notices.h"
#include "entry/base/state.h"
#include "io/httpc.h"
#include "io/process_guard.h"
#include "platform/server_call.h"

#define RELAY_HEADER "Almondthread-Relay"

/* What became of a relayed attempt, as the response's header states. */
typedef enum at_relay_outcome {
	AT_RELAY_PASSED,      /* this is the server's response */
	AT_RELAY_REFUSED,     /* not sent; another server may be chosen */
	AT_RELAY_UNREACHABLE, /* not sent: no connection to the server */
	/* Not sent: the server's address refuses connections. */
	AT_RELAY_CONNECTION_REFUSED,
	AT_RELAY_LOST,    /* sent; the connection was lost without a response */
	AT_RELAY_REACHED, /* of a probe: the server accepts connections */
	AT_RELAY_OUTCOME_COUNT
} at_relay_outcome_t;

/* Names of outcomes, indexed by at_relay_outcome_t. */
extern const char *const at_relay_outcome_names[];

typedef struct at_relay at_relay_t;

/* What it needs, borrowed. */
typedef struct at_relay_deps {
	struct ev_loop *loop;
	at_counters_t *counters;
	const at_identity_t *identity;
	const at_entry_settings_t *settings;
	const at_entry_state_t *state;
	at_fleet_t *fleet;
	at_httpc_t *httpc;
	at_process_guard_t *guard;
	at_reach_io_t *reach;
	at_server_notices_t *notices;
} at_relay_deps_t;

/* at_relay_new() returns NULL if out of memory. */
at_relay_t *at_relay_new(const at_relay_deps_t *deps);
/* at_relay_init() listens; returns AT_FAILED if it cannot. */
at_code_t at_relay_init(at_relay_t *relay, at_status_t *status);
void at_relay_delete(at_relay_t *relay);

/* at_relay_set_max_body() limits the body of a request; longer ones are
 * refused. */
void at_relay_set_max_body(at_relay_t *relay, size_t bytes);
/* at_relay_open() returns the number of attempts that are being passed on. */
size_t at_relay_open(const at_relay_t *relay);
/* at_relay_abandon() ends them, at the end of the shutdown. */
void at_relay_abandon(at_relay_t *relay);
/* at_relay_section() returns its section of the reports. */
at_report_section_t at_relay_section(at_relay_t *relay);

/* What is passed on, as the first instance states it. */
typedef struct at_relay_call {
	const char *server_id;
	const char *request_id; /* may be NULL */
	const char *method;
	const char *target;
	const void *body;
	size_t body_len;
	int new_connection; /* to the server */
	int is_probe;       /* connect only */
} at_relay_call_t;

/*
 * at_relay_add_header() appends the header for an instance, which is the only
 * one that may pass the call on. Returns 0, or -1 if out of memory.
 */
int at_relay_add_header(const at_identity_t *identity,
    const at_roster_member_t *member, const at_relay_call_t *call,
    at_header_lines_t *lines);
/*
 * at_relay_read_outcome() reads a response. Without the header, a status from
 * 400 to 499 is AT_RELAY_REFUSED, as an instance rejects a request before it
 * looks for a server; any other is AT_RELAY_LOST: something else has responded.
 */
at_relay_outcome_t at_relay_read_outcome(
    const at_transfer_t *transfer, int status);

#endif
