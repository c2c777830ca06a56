/*
 * placement_impl.h - what the files of placement_io.h share.
 */
#ifndef ALMONDTHREAD_DAEMON_PLACEMENT_IMPL_H
#define ALMONDTHREAD_DAEMON_PLACEMENT_IMPL_H

#include <ev.h>

#include "almondthread/lease.h"
#include "almondthread/orders.h"
#include "almondthread/placement.h"
#include "daemon/placement/demand.h"
#include "daemon/node/node.h"
#include "daemon/placement/placement_io.h"

#define AT_OBJECT_NAME_SIZE 160u /* bytes of an object's name, with the NUL */
#define AT_CANDIDATES 3u  /* instances of a data centre that may hold it */
#define AT_ROUND_MS 1000u /* between two rounds of the planner */

/* One order on its way to an engine. */
typedef struct at_sending {
	struct at_sending *next;
	struct at_sending *prev;
	at_placement_io_t *io;
	at_transfer_t *transfer;
	uint64_t id;
	int http_status;
	char answer[256];
	size_t answer_len;
} at_sending_t;

/* An earlier holder with open intents, and since when it is unlisted. */
typedef struct at_absent {
	at_incarnation_t sender;
	uint64_t since_ms; /* 0: it is listed */
	int asked;         /* for its statement */
	int needed;
	at_placement_io_t *io;
} at_absent_t;

#define AT_ABSENT_MAX 16u

struct at_placement_io {
	at_node_t *node;
	at_lease_t *lease;
	at_orders_t *orders;
	at_placement_t *placement;
	at_demand_t *demand;
	const at_config_t *config;
	ev_timer tick;
	int started;
	int running; /* in run(); an answer that came at once waits */
	int again;
	uint64_t term;   /* fencing number that orders were begun with */
	int object_open; /* a call to the orders' object has no answer yet */
	uint64_t object_term; /* the term that made it */
	uint64_t next_round_ms;
	at_sending_t *sendings;
	at_absent_t absent[AT_ABSENT_MAX];
	size_t absent_count;
	uint64_t ended_fence;  /* to be stated; 0: nothing */
	uint64_t stated_fence; /* in the open call */
	int stating;           /* a call for the statement is open */
	uint64_t next_statement_ms;
	char lease_object[AT_OBJECT_NAME_SIZE];
	char orders_object[AT_OBJECT_NAME_SIZE];
};

/* at_placement_io_run() does what is due. */
void at_placement_io_run(at_placement_io_t *io);

/* placement_send.c */
void at_sending_start(at_placement_io_t *io, const at_order_t *order);
/* at_sending_cancel_all() closes every transfer, before a term ends. */
void at_sending_cancel_all(at_placement_io_t *io);

/* placement_senders.c: which earlier holders can send no more. */
void at_senders_check(at_placement_io_t *io, uint64_t now_ms);
void at_senders_listed(at_placement_io_t *io, uint64_t now_ms);
/* at_senders_state() writes down that our own terms up to one have ended. */
void at_senders_state(at_placement_io_t *io, uint64_t now_ms);

#endif
