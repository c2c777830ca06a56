/*
 * share_root.h - this instance's entry in the fleet's table of shares, the
 * root of all loans (share.h).
 *
 * The table is one object of the object API and is changed by conditional
 * updates. An entry gives one incarnation a fraction of the limits of all
 * workspaces: a floor without a term and, at one instance of each data
 * centre, a leased part. The entries never add up to more than the whole.
 *
 * A lease runs by its holder's clock from when it sent the write. Another
 * lease holder reclaims it when its own clock has counted a longer term
 * since it first read the entry's present renewal number. A floor is
 * returned when its owner writes the table without it, or when the
 * incarnation is known to have ended and its loans have expired. Without the
 * object API the floors stay.
 */
#ifndef ALMONDTHREAD_SHARE_ROOT_H
#define ALMONDTHREAD_SHARE_ROOT_H

#include "almondthread/ports.h"
#include "almondthread/share.h"

#define AT_SHARE_TABLE_OBJECT "shares/table"
#define AT_SHARE_TERM_MS 15000u        /* term of the leased part */
#define AT_FLOOR_DEFAULT_PPB 800000000 /* sum of all floors */

/* One entry of the table. */
typedef struct at_share_entry {
	at_incarnation_t incarnation;
	int64_t floor_ppb;
	int64_t lease_ppb;
	uint64_t renewal; /* changes with each write by its owner */
} at_share_entry_t;

typedef struct at_share_table {
	at_share_entry_t *entries;
	size_t count;
} at_share_table_t;

/*
 * at_share_table_parse() reads a table. Returns 0, or -1 when the text is
 * not valid or its entries add up to more than the whole.
 */
int at_share_table_parse(at_share_table_t *table, const char *text, size_t len);
/*
 * at_share_table_format() returns the text, which the caller frees, or NULL if
 * out of memory. *len is its length without the NUL.
 */
char *at_share_table_format(const at_share_table_t *table, size_t *len);
void at_share_table_clear(at_share_table_t *table);
/* at_share_table_find() returns the entry of an incarnation, or NULL. */
at_share_entry_t *at_share_table_find(
    const at_share_table_t *table, uint64_t number);
/* at_share_table_sum_ppb() returns the sum of all floors and leased parts. */
int64_t at_share_table_sum_ppb(const at_share_table_t *table);

/* Called whenever the share of this instance has changed. */
typedef void (*at_share_root_changed_t)(
    void *ctx, int64_t floor_ppb, int64_t lease_ppb, uint64_t lease_expires_ms);

typedef struct at_share_root at_share_root_t;

/*
 * at_share_root_new() returns an instance without a share, or NULL if out of
 * memory. self and store are copied.
 */
at_share_root_t *at_share_root_new(
    uint64_t now_ms, const at_incarnation_t *self, const at_store_t *store);
/* at_share_root_delete() must be called with no store call open. */
void at_share_root_delete(at_share_root_t *root);

void at_share_root_set_changed(
    at_share_root_t *root, at_share_root_changed_t changed, void *ctx);
/*
 * at_share_root_set_floor() sets the part of the whole that is divided into
 * floors; the rest is leased.
 */
void at_share_root_set_floor(at_share_root_t *root, int64_t floor_ppb);
/*
 * at_share_root_set_instance_counts() sets the number of instances and of data
 * centres listed; 0 counts as 1.
 */
void at_share_root_set_instance_counts(
    at_share_root_t *root, size_t instances, size_t data_centres);
/*
 * at_share_root_set_lease_holder() sets whether this instance holds the lease
 * of its data centre.
 */
void at_share_root_set_lease_holder(at_share_root_t *root, int is_holder);
/*
 * at_share_root_set_no_lender() sets whether this data centre has no instance
 * to borrow from; an entry in the table is then requested sooner.
 */
void at_share_root_set_no_lender(at_share_root_t *root, int no_lender);
/* at_share_root_note_ended() records that an incarnation has ended. */
void at_share_root_note_ended(
    at_share_root_t *root, uint64_t now_ms, uint64_t number);
/*
 * at_share_root_leave() starts to return this instance's entry;
 * at_share_root_has_left() returns non-zero once that is done.
 */
void at_share_root_leave(at_share_root_t *root, uint64_t now_ms);
int at_share_root_has_left(const at_share_root_t *root);

/*
 * at_share_root_tick() is called every AT_SHARE_TICK_MS or less often.
 * lent_ppb is the largest amount lent of any workspace's share.
 */
void at_share_root_tick(
    at_share_root_t *root, uint64_t now_ms, int64_t lent_ppb);

/* at_share_root_table() returns the table as last read. */
const at_share_table_t *at_share_root_table(const at_share_root_t *root);

#endif
