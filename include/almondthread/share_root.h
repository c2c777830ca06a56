/*
 * share_root.h - this instance's entry in the fleet's table of shares.
 *
 * The table is one object of the object API, changed by conditional updates.
 * An entry gives one incarnation a fraction of the limits of all workspaces:
 * a floor without a term, and at one instance of each data centre a leased
 * part. The entries never add up to more than the whole.
 *
 * A lease runs by its holder's clock from when it sent the write. Another
 * holder takes it back when its own clock has counted a longer term since it
 * first saw the entry's present renewal number. A floor comes back when its
 * holder writes it away, or when the incarnation is said to have ended; its
 * loans are waited out first. Without the object API the floors stay.
 */
#ifndef ALMONDTHREAD_SHARE_ROOT_H
#define ALMONDTHREAD_SHARE_ROOT_H

#include "almondthread/ports.h"
#include "almondthread/share.h"

#define AT_SHARE_TABLE_OBJECT "shares/table"
#define AT_LEASE_TERM_MS 15000u        /* of the leased part */
#define AT_FLOOR_DEFAULT_PPB 800000000 /* of the whole, over all floors */

/* One row of the table. */
typedef struct at_share_entry {
	at_incarnation_t incarnation;
	int64_t floor_ppb;
	int64_t lease_ppb;
	uint64_t renewal; /* changes with each write of its holder */
} at_share_entry_t;

typedef struct at_share_table {
	at_share_entry_t *entries;
	size_t count;
} at_share_table_t;

/*
 * at_share_table_parse() reads a table; returns 0, or -1 when the text is
 * not one or its entries add up to more than the whole.
 */
int at_share_table_parse(at_share_table_t *table, const char *text, size_t len);
/* at_share_table_format() returns the text, to be freed; *len without NUL. */
char *at_share_table_format(const at_share_table_t *table, size_t *len);
void at_share_table_clear(at_share_table_t *table);
at_share_entry_t *at_share_table_find(
    const at_share_table_t *table, uint64_t number);
int64_t at_share_table_sum_ppb(const at_share_table_t *table);

/* Called whenever what this instance may use has changed. */
typedef void (*at_share_root_changed_t)(
    void *ctx, int64_t floor_ppb, int64_t lease_ppb, uint64_t lease_expires_ms);

typedef struct at_share_root at_share_root_t;

at_share_root_t *at_share_root_new(
    uint64_t now_ms, const at_incarnation_t *self, const at_store_t *store);
/* at_share_root_delete() is called when no call to the store is open. */
void at_share_root_delete(at_share_root_t *root);

void at_share_root_set_changed(
    at_share_root_t *root, at_share_root_changed_t apply, void *ctx);
/* The part of the whole that floors are made of; the rest is leased. */
void at_share_root_set_floor(at_share_root_t *root, int64_t floor_ppb);
/* How many instances and data centres are listed; each at least 1. */
void at_share_root_set_instance_counts(
    at_share_root_t *root, size_t instances, size_t data_centres);
/* Whether this instance holds the lease of its data centre. */
void at_share_root_set_lease_holder(at_share_root_t *root, int holds);
/* Whether there is nobody here to borrow from; joining is then hurried. */
void at_share_root_set_no_lender(at_share_root_t *root, int alone);
/* at_share_root_note_ended() says that an incarnation is known to have ended.
 */
void at_share_root_note_ended(
    at_share_root_t *root, uint64_t now_ms, uint64_t number);
/* at_share_root_leave() hands everything back; see at_share_root_has_left(). */
void at_share_root_leave(at_share_root_t *root);
int at_share_root_has_left(const at_share_root_t *root);

/*
 * at_share_root_tick() is called every AT_SHARE_TICK_MS, or later. lent_ppb
 * is the most that any workspace's share has lent.
 */
void at_share_root_tick(
    at_share_root_t *root, uint64_t now_ms, int64_t lent_ppb);

/* at_share_root_table() is the table as last read. */
const at_share_table_t *at_share_root_table(const at_share_root_t *root);

#endif
