/*
 * placement_impl.h - structures shared by the files of src/daemon/placement.
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

#define AT_OBJECT_NAME_SIZE 160u /* bytes, with the NUL */
/* Instances of a data centre that try to get its lease. */
#define AT_LEASE_CANDIDATES 3u
#define AT_PLAN_INTERVAL_MS 1000u /* between runs of the planner */

/* The transfer of one order to an engine. */
typedef struct at_order_transfer {
	struct at_order_transfer *next;
	struct at_order_transfer *prev;
	at_placement_io_t *io;
	at_transfer_t *transfer;
	uint64_t id;
	int http_status;
	char response[256];
	size_t response_len;
} at_order_transfer_t;

/* An earlier lease holder whose intents are still open. */
typedef struct at_former_sender {
	at_incarnation_t sender;
	/* When it was first missing in the instance list; 0 if listed. */
	uint64_t unlisted_since_ms;
	int is_requested; /* a call for its statement is open */
	int is_needed;    /* it has open intents, or the call is open */
	at_placement_io_t *io;
} at_former_sender_t;

/* Further senders are added when an entry has been removed. */
#define AT_FORMER_SENDERS_MAX 16u

struct at_placement_io {
	at_node_t *node;
	at_lease_t *lease;
	at_orders_t *orders;
	at_placement_t *placement;
	at_demand_t *demand;
	const at_config_t *config;
	ev_timer tick;
	int is_started;
	int is_processing;    /* at_placement_io_process() is running */
	int process_again;    /* it was called while it was running */
	uint64_t term;        /* fencing token of the present term; 0 if none */
	int orders_call_open; /* a call for the orders object is open */
	uint64_t orders_call_term; /* the term that made the call */
	uint64_t next_plan_ms;
	at_order_transfer_t *order_transfers;
	at_former_sender_t former_senders[AT_FORMER_SENDERS_MAX];
	size_t former_sender_count;
	uint64_t ended_fence;    /* ended term to be stated; 0 if none */
	uint64_t stated_fence;   /* stated in the open call */
	int statement_call_open; /* a call to write it is open */
	uint64_t next_statement_ms;
	char lease_object[AT_OBJECT_NAME_SIZE];
	char orders_object[AT_OBJECT_NAME_SIZE];
};

/* at_placement_io_process() processes the lease, the planner and the orders. */
void at_placement_io_process(at_placement_io_t *io);

/*
 * at_order_transfer_start() sends an order to its engine (placement_send.c).
 * The orders are notified of the result, also if the transfer cannot be
 * started.
 */
void at_order_transfer_start(at_placement_io_t *io, const at_order_t *order);
/* at_order_transfer_cancel_all() cancels all transfers, before a term ends. */
void at_order_transfer_cancel_all(at_placement_io_t *io);

/*
 * at_former_senders_check() notifies the orders of earlier lease holders that
 * can send no more orders (placement_senders.c).
 */
void at_former_senders_check(at_placement_io_t *io, uint64_t now_ms);
/* at_former_senders_update_list() is called after each new instance list. */
void at_former_senders_update_list(at_placement_io_t *io, uint64_t now_ms);
/*
 * at_former_senders_write_statement() writes the statement that the terms of
 * this instance up to ended_fence have ended.
 */
void at_former_senders_write_statement(at_placement_io_t *io, uint64_t now_ms);

#endif
