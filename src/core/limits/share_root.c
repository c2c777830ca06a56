#include "almondthread/share_root.h"

#include <stdlib.h>
#include <string.h>

/* Time between two renewals of a lease. */
#define RENEW_MS (AT_SHARE_TERM_MS / 3u)
/* Time between two reads of the table by an instance without a lease. */
#define READ_MS 600000u
/* Time between two attempts of an instance to get a floor. */
#define JOIN_MS 10000u
/* Time between two attempts to get a floor where no instance can lend. */
#define JOIN_NO_LENDER_MS 1000u
/* A floor shrinks only after the instance count was stable for this time. */
#define FLEET_STABLE_MS 10000u
/*
 * A retry is delayed by half of this and by a random time, which is below this
 * times the number of consecutive failures.
 */
#define RETRY_MS 200u
/* Upper bound of the random time, which spreads the retries of a fleet. */
#define RETRY_SPREAD_MAX_MS 5000u
#define NOT_ENDED UINT64_MAX

typedef enum state {
	STATE_IDLE,
	STATE_READING,
	STATE_WRITING
} state_t;

/* What this instance has observed of another one's entry. */
typedef struct observation {
	uint64_t number; /* of the incarnation */
	uint64_t renewal;
	uint64_t seen_ms;  /* when this renewal was first read */
	uint64_t ended_ms; /* when it was reported as ended, or NOT_ENDED */
} observation_t;

struct at_share_root {
	at_incarnation_t self;
	at_store_t store;
	at_share_root_changed_t changed;
	void *changed_ctx;
	int64_t floors_ppb; /* sum of all floors once all have theirs */
	size_t instances;
	size_t data_centres;
	int has_counts;                /* the two counts above are set */
	uint64_t instances_changed_ms; /* when instances last changed */
	int is_holder;                 /* of the lease of its data centre */
	int no_lender; /* no instance of the data centre can lend */
	int is_leaving;
	int has_left;
	state_t state;
	/* Result of the open call, stored for the next tick. */
	int has_result;
	at_store_code_t code;
	uint64_t version;
	char *value;
	size_t value_len;
	at_share_table_t table; /* as last read or written */
	at_share_table_t next;  /* to be written */
	uint64_t now_ms;
	uint64_t next_ms; /* of the next read */
	uint64_t sent_ms; /* of the last write */
	uint64_t renewal; /* of the last write */
	int64_t floor_ppb;
	int64_t lease_ppb;
	uint64_t lease_expires_ms;
	int is_shrinking;   /* the table still has a larger floor */
	uint64_t shrunk_ms; /* when floor_ppb was reduced */
	int64_t lent_ppb;
	observation_t *observations;
	size_t observation_count;
	uint64_t failures; /* consecutive ones */
	at_rng_t rng;      /* spreads the retries of many instances */
};

at_share_root_t *
at_share_root_new(
    uint64_t now_ms, const at_incarnation_t *self, const at_store_t *store)
{
	at_share_root_t *root = calloc(1, sizeof(*root));

	if (root == NULL)
		return NULL;
	root->self = *self;
	root->store = *store;
	root->floors_ppb = AT_FLOOR_DEFAULT_PPB;
	root->instances = 1;
	root->data_centres = 1;
	root->now_ms = now_ms;
	root->next_ms = now_ms;
	root->rng.state = self->number;
	return root;
}

void
at_share_root_delete(at_share_root_t *root)
{
	if (root == NULL)
		return;
	at_share_table_clear(&root->table);
	at_share_table_clear(&root->next);
	free(root->value);
	free(root->observations);
	free(root);
}

void
at_share_root_set_changed(
    at_share_root_t *root, at_share_root_changed_t changed, void *ctx)
{
	root->changed = changed;
	root->changed_ctx = ctx;
}

void
at_share_root_set_floor(at_share_root_t *root, int64_t floor_ppb)
{
	root->floors_ppb = floor_ppb;
}

void
at_share_root_set_instance_counts(
    at_share_root_t *root, size_t instances, size_t data_centres)
{
	if (instances == 0)
		instances = 1;
	if (!root->has_counts)
		root->next_ms = root->now_ms;
	if (!root->has_counts || instances != root->instances)
		root->instances_changed_ms = root->now_ms;
	root->has_counts = 1;
	root->instances = instances;
	root->data_centres = data_centres > 0 ? data_centres : 1;
}

void
at_share_root_set_lease_holder(at_share_root_t *root, int is_holder)
{
	if (is_holder && !root->is_holder)
		root->next_ms = root->now_ms;
	root->is_holder = is_holder;
}

void
at_share_root_set_no_lender(at_share_root_t *root, int no_lender)
{
	root->no_lender = no_lender;
}

const at_share_table_t *
at_share_root_table(const at_share_root_t *root)
{
	return &root->table;
}

int
at_share_root_has_left(const at_share_root_t *root)
{
	return root->has_left;
}

static void
notify_changed(at_share_root_t *root)
{
	if (root->changed != NULL)
		root->changed(root->changed_ctx, root->floor_ppb,
		    root->lease_ppb, root->lease_expires_ms);
}

/* Uses a smaller floor at once; the table follows when all loans have ended. */
static void
shrink(at_share_root_t *root, int64_t floor_ppb)
{
	root->floor_ppb = floor_ppb;
	root->is_shrinking = 1;
	root->shrunk_ms = root->now_ms;
	notify_changed(root);
}

static int
have_loans_ended(const at_share_root_t *root)
{
	return root->lent_ppb == 0 ||
	       root->now_ms >=
		   root->shrunk_ms + at_lender_term_ms(AT_IDLE_LOAN_TERM_MS);
}

void
at_share_root_leave(at_share_root_t *root, uint64_t now_ms)
{
	if (root->is_leaving)
		return;
	root->is_leaving = 1;
	root->now_ms = now_ms;
	root->lease_ppb = 0;
	root->lease_expires_ms = 0;
	root->next_ms = root->now_ms;
	shrink(root, 0);
}

static observation_t *
find_or_add_observation(at_share_root_t *root, uint64_t number)
{
	observation_t *observation;
	size_t i;

	for (i = 0; i < root->observation_count; i++) {
		if (root->observations[i].number == number)
			return &root->observations[i];
	}
	observation = realloc(root->observations,
	    (root->observation_count + 1) * sizeof(*observation));
	if (observation == NULL)
		abort();
	root->observations = observation;
	observation = &observation[root->observation_count++];
	observation->number = number;
	observation->renewal = 0;
	observation->seen_ms = root->now_ms;
	observation->ended_ms = NOT_ENDED;
	return observation;
}

void
at_share_root_note_ended(
    at_share_root_t *root, uint64_t now_ms, uint64_t number)
{
	observation_t *observation = find_or_add_observation(root, number);

	if (observation->ended_ms == NOT_ENDED)
		observation->ended_ms = now_ms;
}

/* Records renewals and removes instances that no longer have an entry. */
static void
update_observations(at_share_root_t *root)
{
	size_t i;

	for (i = 0; i < root->table.count; i++) {
		const at_share_entry_t *entry = &root->table.entries[i];
		observation_t *observation =
		    find_or_add_observation(root, entry->incarnation.number);

		if (observation->renewal == entry->renewal)
			continue;
		observation->renewal = entry->renewal;
		observation->seen_ms = root->now_ms;
	}
	i = 0;
	while (i < root->observation_count) {
		if (at_share_table_find(
			&root->table, root->observations[i].number) != NULL)
			i++;
		else
			root->observations[i] =
			    root->observations[--root->observation_count];
	}
}

static int
is_lease_over(const observation_t *observation, uint64_t now_ms)
{
	return now_ms >=
	       observation->seen_ms + at_lender_term_ms(AT_SHARE_TERM_MS);
}

static int
is_floor_over(const observation_t *observation, uint64_t now_ms)
{
	return observation->ended_ms != NOT_ENDED &&
	       now_ms >= observation->ended_ms +
			     at_lender_term_ms(AT_IDLE_LOAN_TERM_MS);
}

/*
 * Removes expired leases and floors of other instances. Returns non-zero if any
 * was removed.
 */
static int
reclaim_expired(at_share_root_t *root, at_share_table_t *next)
{
	int changed = 0;
	size_t i = 0;

	while (i < next->count) {
		at_share_entry_t *entry = &next->entries[i];
		const observation_t *observation =
		    find_or_add_observation(root, entry->incarnation.number);

		i++;
		if (entry->incarnation.number == root->self.number)
			continue;
		if (entry->lease_ppb > 0 &&
		    is_lease_over(observation, root->now_ms)) {
			entry->lease_ppb = 0;
			changed = 1;
		}
		if (is_floor_over(observation, root->now_ms)) {
			*entry = next->entries[--next->count];
			changed = 1;
			i--;
		}
	}
	return changed;
}

static int64_t
min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static at_share_entry_t *
find_or_add_own_entry(at_share_root_t *root, at_share_table_t *next)
{
	at_share_entry_t *own = at_share_table_find(next, root->self.number);

	if (own != NULL)
		return own;
	own = &next->entries[next->count++];
	memset(own, 0, sizeof(*own));
	own->incarnation = root->self;
	return own;
}

/* Returns an equal part of the floors for each instance. */
static int64_t
target_floor_ppb(const at_share_root_t *root)
{
	return root->floors_ppb / (int64_t)root->instances;
}

/* Plans this instance's floor; returns non-zero if it changed. */
static int
plan_floor(at_share_root_t *root, at_share_entry_t *own, int64_t free_ppb)
{
	int64_t target_ppb = target_floor_ppb(root);

	if (root->is_shrinking) {
		if (!have_loans_ended(root) ||
		    own->floor_ppb == root->floor_ppb)
			return 0;
		own->floor_ppb = root->floor_ppb;
		return 1;
	}
	if (!root->has_counts || own->floor_ppb >= target_ppb || free_ppb <= 0)
		return 0;
	/* Half is left to other instances that start at the same time. */
	own->floor_ppb +=
	    min_i64(target_ppb - own->floor_ppb, (free_ppb + 1) / 2);
	return 1;
}

/* Plans this instance's lease; returns non-zero if it must be written. */
static int
plan_lease(at_share_root_t *root, at_share_entry_t *own, int64_t free_ppb)
{
	int64_t target_ppb =
	    (AT_PPB_WHOLE - root->floors_ppb) / (int64_t)root->data_centres;

	if (root->is_holder && !root->is_leaving) {
		int64_t max_ppb = own->lease_ppb + free_ppb;

		if (own->lease_ppb == 0 && max_ppb <= 0)
			return 0;
		if (own->lease_ppb < target_ppb)
			own->lease_ppb = min_i64(target_ppb, max_ppb);
		return 1;
	}
	if (own->lease_ppb == 0 || root->now_ms < root->lease_expires_ms)
		return 0;
	own->lease_ppb = 0;
	return 1;
}

static void
copy_table(at_share_table_t *to, const at_share_table_t *from)
{
	at_share_table_clear(to);
	to->entries = calloc(from->count + 1, sizeof(*to->entries));
	if (to->entries == NULL)
		abort();
	if (from->count > 0)
		memcpy(to->entries, from->entries,
		    from->count * sizeof(*to->entries));
	to->count = from->count;
}

/* Plans the next table; returns non-zero if it must be written. */
static int
plan_table(at_share_root_t *root)
{
	at_share_table_t *next = &root->next;
	at_share_entry_t *own;
	int changed;

	copy_table(next, &root->table);
	changed = reclaim_expired(root, next);
	if (root->is_leaving) {
		own = at_share_table_find(next, root->self.number);
		if (own == NULL || !have_loans_ended(root))
			return changed;
		*own = next->entries[--next->count];
		return 1;
	}
	own = find_or_add_own_entry(root, next);
	changed |=
	    plan_floor(root, own, AT_PPB_WHOLE - at_share_table_sum_ppb(next));
	changed |=
	    plan_lease(root, own, AT_PPB_WHOLE - at_share_table_sum_ppb(next));
	own->renewal = root->renewal + 1;
	return changed;
}

static void
on_result(void *ctx, const at_store_result_t *result)
{
	at_share_root_t *root = ctx;

	root->has_result = 1;
	root->code = result->code;
	root->version = result->version;
	free(root->value);
	root->value = NULL;
	root->value_len = 0;
	if (result->code != AT_STORE_OK || root->state != STATE_READING)
		return;
	root->value = malloc(result->value_len + 1);
	if (root->value == NULL)
		return;
	memcpy(root->value, result->value, result->value_len);
	root->value_len = result->value_len;
}

static void
schedule_read(at_share_root_t *root, uint64_t wait_ms)
{
	root->state = STATE_IDLE;
	root->next_ms = root->now_ms + wait_ms;
}

static void
schedule_retry(at_share_root_t *root)
{
	uint64_t spread_ms = RETRY_MS * ++root->failures;

	if (spread_ms > RETRY_SPREAD_MAX_MS)
		spread_ms = RETRY_SPREAD_MAX_MS;
	schedule_read(root, RETRY_MS / 2 + at_rng_below(&root->rng, spread_ms));
}

static uint64_t
period_ms(const at_share_root_t *root)
{
	if (root->is_leaving)
		return RETRY_MS;
	if (root->is_holder && root->floor_ppb > 0)
		return RENEW_MS;
	if (!root->has_counts || root->floor_ppb < target_floor_ppb(root) / 2)
		return root->no_lender ? JOIN_NO_LENDER_MS : JOIN_MS;
	return READ_MS;
}

/* Reduces a floor that is too large for the fleet, without reading first. */
static void
check_floor(at_share_root_t *root)
{
	int64_t target_ppb = target_floor_ppb(root);

	if (root->is_leaving || root->is_shrinking || !root->has_counts ||
	    root->now_ms < root->instances_changed_ms + FLEET_STABLE_MS ||
	    root->floor_ppb <= target_ppb + target_ppb / 4)
		return;
	shrink(root, target_ppb);
}

/* Makes the write of a reduced floor due when the loans have ended. */
static void
check_loans_ended(at_share_root_t *root)
{
	if (root->is_shrinking && root->failures == 0 && have_loans_ended(root))
		root->next_ms = root->now_ms;
}

/* Applies the table's entry of this instance. */
static void
apply_own_entry(at_share_root_t *root, const at_share_table_t *table)
{
	const at_share_entry_t *own =
	    at_share_table_find(table, root->self.number);
	int64_t floor_ppb = own == NULL ? 0 : own->floor_ppb;

	if (own == NULL) {
		root->lease_ppb = 0;
		root->lease_expires_ms = 0;
		root->has_left = root->is_leaving;
	} else if (own->renewal == root->renewal && !root->is_leaving) {
		root->lease_ppb = own->lease_ppb;
		root->lease_expires_ms = root->sent_ms + AT_SHARE_TERM_MS;
	}
	if (!root->is_shrinking || floor_ppb <= root->floor_ppb) {
		root->floor_ppb = floor_ppb;
		root->is_shrinking = 0;
	}
	notify_changed(root);
}

static void
write_table(at_share_root_t *root)
{
	size_t len;
	char *text = at_share_table_format(&root->next, &len);

	if (text == NULL) {
		schedule_retry(root);
		return;
	}
	root->state = STATE_WRITING;
	root->renewal++;
	root->sent_ms = root->now_ms;
	root->store.put(root->store.impl, AT_SHARE_TABLE_OBJECT, root->version,
	    text, len, on_result, root);
	free(text);
}

static void
on_read(at_share_root_t *root)
{
	at_share_table_t table = {0};

	if (root->code == AT_STORE_NOT_FOUND)
		root->version = 0;
	else if (root->code != AT_STORE_OK || root->value == NULL ||
		 at_share_table_parse(&table, root->value, root->value_len) !=
		     0) {
		schedule_retry(root);
		return;
	}
	at_share_table_clear(&root->table);
	root->table = table;
	update_observations(root);
	apply_own_entry(root, &root->table);
	if (plan_table(root))
		write_table(root);
	else
		schedule_read(root, period_ms(root));
}

static void
on_written(at_share_root_t *root)
{
	if (root->code != AT_STORE_OK) {
		schedule_retry(root);
		return;
	}
	at_share_table_clear(&root->table);
	root->table = root->next;
	memset(&root->next, 0, sizeof(root->next));
	root->failures = 0;
	update_observations(root);
	apply_own_entry(root, &root->table);
	schedule_read(root, period_ms(root));
}

void
at_share_root_tick(at_share_root_t *root, uint64_t now_ms, int64_t lent_ppb)
{
	root->now_ms = now_ms;
	root->lent_ppb = lent_ppb;
	check_floor(root);
	check_loans_ended(root);
	if (root->has_result) {
		root->has_result = 0;
		if (root->state == STATE_READING)
			on_read(root);
		else
			on_written(root);
	}
	if (root->state != STATE_IDLE || now_ms < root->next_ms ||
	    root->has_left || (!root->has_counts && !root->is_leaving))
		return;
	root->state = STATE_READING;
	root->store.get(
	    root->store.impl, AT_SHARE_TABLE_OBJECT, on_result, root);
}
