/*
 * orders.h - the lease, and what its holder does with it: models and adapters
 * are loaded and unloaded so that engines hold what is asked for.
 *
 * Only the holder of the lease gives orders. It tells the other instances
 * what it has done with its reports, ahead of the platform's list.
 */
#ifndef ALMONDTHREAD_ENTRY_ORDERS_H
#define ALMONDTHREAD_ENTRY_ORDERS_H

#include "almondthread/roster.h"
#include "entry/entry.h"
#include "report.pb-c.h"

at_orders_io_t *at_orders_io_new(at_entry_t *entry);
void at_orders_io_start(at_orders_io_t *orders);
void at_orders_io_delete(at_orders_io_t *orders);
/* at_orders_io_release() hands the lease over; no order is sent any more. */
void at_orders_io_release(at_orders_io_t *orders);

/* at_orders_io_note_demand() counts a request of this instance. */
void at_orders_io_note_demand(at_orders_io_t *orders, const at_work_t *work);

/*
 * at_orders_io_want() has the holder of the lease hear at once that a request
 * waits for a model or adapter.
 */
void at_orders_io_request_load(at_orders_io_t *orders, const at_work_t *work);
/* at_orders_io_is_platform_away() tells whether its last call failed. */
int at_orders_io_is_platform_away(const at_orders_io_t *orders);
/* at_orders_io_fence() returns the lease's number if it is held here, or 0. */
uint64_t at_orders_io_fence(const at_orders_io_t *orders);
/*
 * Both add to a report what is lent until the next call: what the holder has
 * done, and what this instance is asked for and waits for.
 */
void at_orders_io_fill_changes(at_orders_io_t *orders, Report *report);
void at_orders_io_fill_demand(at_orders_io_t *orders, Report *report);
void at_orders_io_apply_report(at_orders_io_t *orders,
    const at_roster_member_t *from, const Report *report);

#endif
