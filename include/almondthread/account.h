/*
 * account.h - memory account of one model engine, for orders.h.
 *
 * An account combines the engine's newest report with one reservation for
 * each load order that may still arrive there. In any order of deliveries
 * the memory that the engine uses is covered by committed_mb, and
 * committed_mb does not exceed the capacity for anything that
 * at_account_reserve() has granted.
 *
 * - An unload order does not free memory by itself. Memory is free when a
 *   report that was requested later no longer lists the resident.
 * - A reservation lasts until its owner has proof that no copy of the order
 *   can still arrive, and releases it (orders.h).
 * - A suspended reservation belongs to an order that the engine's present
 *   incarnation is known to refuse. It counts again when the incarnation
 *   changes. It always counts in a second sum, which limits the memory that
 *   may be used after an engine restart that no report has shown yet.
 *
 * A slot is a model or adapter on the engine. A load for a slot that is
 * resident or reserved shares its memory; the owner never reserves two
 * versions of one slot at a time.
 */
#ifndef ALMONDTHREAD_ACCOUNT_H
#define ALMONDTHREAD_ACCOUNT_H

#include "almondthread/engine_view.h"

typedef struct at_account at_account_t;

/*
 * at_account_new() returns an account without a report and with a capacity of
 * 0, or NULL if out of memory.
 */
at_account_t *at_account_new(void);
void at_account_set_capacity_mb(at_account_t *account, uint64_t capacity_mb);
void at_account_delete(at_account_t *account);

/*
 * at_account_apply_report() replaces the residents by those of a report that
 * was requested at requested_at_ms; they are copied. Returns 0, or -1 and
 * changes nothing if a report requested later is known or if out of memory.
 */
int at_account_apply_report(at_account_t *account, uint64_t requested_at_ms,
    uint64_t incarnation, const at_resident_t *residents, size_t count);

/*
 * at_account_report_requested_at_ms() returns when the newest report was
 * requested, or 0 before the first one.
 */
uint64_t at_account_report_requested_at_ms(const at_account_t *account);

/* at_account_incarnation() returns the engine's incarnation last reported. */
uint64_t at_account_incarnation(const at_account_t *account);

/*
 * at_account_reserve() reserves memory for the load order id; resident is
 * copied. Returns 0, or -1 if the engine's memory does not suffice, before the
 * first report, or if this process is out of memory.
 */
int at_account_reserve(
    at_account_t *account, uint64_t id, const at_resident_t *resident);

/*
 * at_account_reserve_unchecked() reserves memory for an order that may arrive
 * even if the engine has no memory for it. Returns 0, or -1 if out of memory.
 */
int at_account_reserve_unchecked(
    at_account_t *account, uint64_t id, const at_resident_t *resident);

/*
 * at_account_suspend() suspends a reservation for as long as the engine's
 * present incarnation lasts.
 */
void at_account_suspend(at_account_t *account, uint64_t id);

/* at_account_release() ends a reservation; an unknown id is ignored. */
void at_account_release(at_account_t *account, uint64_t id);

/*
 * at_account_committed_mb() returns the memory of the residents in the newest
 * report and of all reservations that count.
 */
uint64_t at_account_committed_mb(const at_account_t *account);
uint64_t at_account_capacity_mb(const at_account_t *account);

/*
 * at_account_free_mb() returns the memory that at_account_reserve() would still
 * grant, or 0 before the first report.
 */
uint64_t at_account_free_mb(const at_account_t *account);

/*
 * at_account_find() returns a slot's resident in the newest report, or NULL.
 * It belongs to the account and is valid until the next report.
 */
const at_resident_t *at_account_find(
    const at_account_t *account, const char *model, const char *adapter);

/*
 * at_account_residents() returns all residents of the newest report, which
 * are valid until the next one, and their number in *count.
 */
const at_resident_t *at_account_residents(
    const at_account_t *account, size_t *count);

/* at_slot_equal() returns non-zero if two residents are of one slot. */
int at_slot_equal(const at_resident_t *a, const at_resident_t *b);

#endif
