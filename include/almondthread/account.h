/*
 * account.h - the memory account of one engine.
 *
 * The account holds what the newest report showed and one reservation for
 * each load order that may still arrive. The invariant, at every moment and
 * whatever is delivered in whatever order: what the engine holds is covered
 * by committed_mb, and committed_mb <= capacity for all that this account
 * granted.
 *
 * - An unload frees nothing by itself: memory is free when a report that was
 *   asked for later no longer shows the resident.
 * - A reservation lasts until its owner proves that no copy of the order can
 *   arrive any more and drops it (orders.h).
 * - A shelved reservation belongs to an order that the engine's present
 *   incarnation is known to refuse. It counts again when the incarnation
 *   changes, and it counts at all times in the second sum, which bounds what
 *   a restart that nobody has seen yet can leave behind.
 *
 * A load for a slot (model and adapter) that is resident or reserved shares
 * its memory; the owner never reserves two versions of one slot at a time.
 */
#ifndef ALMONDTHREAD_ACCOUNT_H
#define ALMONDTHREAD_ACCOUNT_H

#include "almondthread/engine_view.h"

typedef struct at_account at_account_t;

at_account_t *at_account_new(void);
void at_account_set_capacity_mb(at_account_t *account, uint64_t capacity_mb);
void at_account_delete(at_account_t *account);

/*
 * at_account_apply_report() takes over a report that was asked for at
 * asked_at_ms. Returns 0, or -1 when one asked for later is known already or
 * without memory; nothing is changed then.
 */
int at_account_apply_report(at_account_t *account, uint64_t asked_at_ms,
    uint64_t incarnation, const at_resident_t *residents, size_t count);

/* at_account_report_requested_at_ms() returns 0 before the first report. */
uint64_t at_account_report_requested_at_ms(const at_account_t *account);
uint64_t at_account_incarnation(const at_account_t *account);

/*
 * at_account_reserve() reserves the memory of a load order.
 * Returns 0, or -1 when it does not fit, when no report is known or without
 * memory.
 */
int at_account_reserve(
    at_account_t *account, uint64_t id, const at_resident_t *what);
/* at_account_reserve_unchecked() reserves for an order that may arrive in any
 * case. */
int at_account_reserve_unchecked(
    at_account_t *account, uint64_t id, const at_resident_t *what);
void at_account_suspend(at_account_t *account, uint64_t id);
/* at_account_release() ends a reservation; an unknown id is ignored. */
void at_account_release(at_account_t *account, uint64_t id);

uint64_t at_account_committed_mb(const at_account_t *account);
uint64_t at_account_capacity_mb(const at_account_t *account);
/* at_account_free_mb() returns what at_account_reserve() would still grant. */
uint64_t at_account_free_mb(const at_account_t *account);

/* at_account_find() returns what the newest report shows of a slot, or NULL. */
const at_resident_t *at_account_find(
    const at_account_t *account, const char *model, const char *adapter);

/* at_account_residents() returns the newest report's residents. */
const at_resident_t *at_account_residents(
    const at_account_t *account, size_t *count);

/* at_slot_equal() tells whether two residents are of one slot. */
int at_slot_equal(const at_resident_t *a, const at_resident_t *b);

#endif
