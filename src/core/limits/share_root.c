#include "almondthread/share_root.h"

#include <stdlib.h>
#include <string.h>

#define RENEW_MS (AT_SHARE_TERM_MS / 3u) /* between two writes of a holder */
#define REREAD_MS 600000u  /* between two reads by all the others */
#define ALONE_MS 1000u     /* the same where nobody can lend */
#define JOIN_MS 10000u     /* between two tries to get a floor */
#define SETTLED_MS 10000u  /* a fleet of one size, before floors shrink */
#define RETRY_MS 200u      /* after a call that failed or lost a race */
#define RETRY_MAX_MS 5000u /* the spread of retries grows up to this */
#define NEVER UINT64_MAX

typedef enum state {
	STATE_IDLE,
	STATE_READING,
	STATE_WRITING
} state_t;

/* What this instance saw of another's entry. */
typedef struct sight {
	uint64_t number;
	uint64_t renewal;
	uint64_t seen_ms;  /* when it first saw this renewal */
	uint64_t ended_ms; /* NEVER unless it is said to have ended */
} sight_t;

struct at_share_root {
	at_incarnation_t self;
	at_store_t store;
	at_share_root_changed_t apply;
	void *apply_ctx;
	int64_t floors_ppb;
	size_t instances;
	size_t data_centres;
	int fleet_known;   /* the two above were heard */
	uint64_t fleet_ms; /* when the first last changed */
	int holds;
	int alone;
	int leaving;
	int left;
	state_t state;
	/* The answer to the open call, kept for the next tick. */
	int answered;
	at_store_code_t code;
	uint64_t version;
	char *value;
	size_t value_len;
	at_share_table_t table; /* as last read */
	at_share_table_t next;  /* as last written */
	uint64_t now_ms;
	uint64_t next_ms; /* of the next read */
	uint64_t sent_ms; /* of the last write */
	uint64_t renewal; /* of the last write */
	int64_t floor_ppb;
	int64_t lease_ppb;
	uint64_t lease_expires_ms;
	int shrinking; /* floor_ppb is below the table's */
	uint64_t shrunk_ms;
	int64_t lent_ppb;
	sight_t *sights;
	size_t sight_count;
	uint64_t failures; /* in a row */
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
	free(root->sights);
	free(root);
}

void
at_share_root_set_changed(
    at_share_root_t *root, at_share_root_changed_t apply, void *ctx)
{
	root->apply = apply;
	root->apply_ctx = ctx;
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
	if (!root->fleet_known)
		root->next_ms = root->now_ms;
	if (!root->fleet_known || instances != root->instances)
		root->fleet_ms = root->now_ms;
	root->fleet_known = 1;
	root->instances = instances;
	root->data_centres = data_centres > 0 ? data_centres : 1;
}

void
at_share_root_set_lease_holder(at_share_root_t *root, int holds)
{
	if (holds && !root->holds)
		root->next_ms = root->now_ms;
	root->holds = holds;
}

void
at_share_root_set_no_lender(at_share_root_t *root, int alone)
{
	root->alone = alone;
}

const at_share_table_t *
at_share_root_table(const at_share_root_t *root)
{
	return &root->table;
}

int
at_share_root_has_left(const at_share_root_t *root)
{
	return root->left;
}

static void
apply(at_share_root_t *root)
{
	if (root->apply != NULL)
		root->apply(root->apply_ctx, root->floor_ppb, root->lease_ppb,
		    root->lease_expires_ms);
}

/* Uses less from now on; the table follows when all loans are over. */
static void
shrink(at_share_root_t *root, int64_t floor_ppb)
{
	root->floor_ppb = floor_ppb;
	root->shrinking = 1;
	root->shrunk_ms = root->now_ms;
	apply(root);
}

static int
loans_are_over(const at_share_root_t *root)
{
	return root->lent_ppb == 0 ||
	       root->now_ms >=
		   root->shrunk_ms + at_lender_term_ms(AT_IDLE_LOAN_TERM_MS);
}

void
at_share_root_leave(at_share_root_t *root)
{
	if (root->leaving)
		return;
	root->leaving = 1;
	root->lease_ppb = 0;
	root->lease_expires_ms = 0;
	root->next_ms = root->now_ms;
	shrink(root, 0);
}

static sight_t *
sight_of(at_share_root_t *root, uint64_t number)
{
	sight_t *grown;
	size_t i;

	for (i = 0; i < root->sight_count; i++) {
		if (root->sights[i].number == number)
			return &root->sights[i];
	}
	grown = realloc(root->sights, (root->sight_count + 1) * sizeof(*grown));
	if (grown == NULL)
		abort();
	root->sights = grown;
	grown = &grown[root->sight_count++];
	grown->number = number;
	grown->renewal = 0;
	grown->seen_ms = root->now_ms;
	grown->ended_ms = NEVER;
	return grown;
}

void
at_share_root_note_ended(
    at_share_root_t *root, uint64_t now_ms, uint64_t number)
{
	sight_t *sight = sight_of(root, number);

	if (sight->ended_ms == NEVER)
		sight->ended_ms = now_ms;
}

/* Notes renewals and forgets instances that have no entry any more. */
static void
look(at_share_root_t *root)
{
	size_t i;

	for (i = 0; i < root->table.count; i++) {
		const at_share_entry_t *entry = &root->table.entries[i];
		sight_t *sight = sight_of(root, entry->incarnation.number);

		if (sight->renewal == entry->renewal)
			continue;
		sight->renewal = entry->renewal;
		sight->seen_ms = root->now_ms;
	}
	i = 0;
	while (i < root->sight_count) {
		if (at_share_table_find(&root->table, root->sights[i].number) !=
		    NULL)
			i++;
		else
			root->sights[i] = root->sights[--root->sight_count];
	}
}

static int
lease_is_over(const sight_t *sight, uint64_t now_ms)
{
	return now_ms >= sight->seen_ms + at_lender_term_ms(AT_SHARE_TERM_MS);
}

static int
floor_is_over(const sight_t *sight, uint64_t now_ms)
{
	return sight->ended_ms != NEVER &&
	       now_ms >=
		   sight->ended_ms + at_lender_term_ms(AT_IDLE_LOAN_TERM_MS);
}

/* Takes back what others lost by time; returns whether there was any. */
static int
reclaim(at_share_root_t *root, at_share_table_t *next)
{
	int changed = 0;
	size_t i = 0;

	while (i < next->count) {
		at_share_entry_t *entry = &next->entries[i];
		const sight_t *sight =
		    sight_of(root, entry->incarnation.number);

		i++;
		if (entry->incarnation.number == root->self.number)
			continue;
		if (entry->lease_ppb > 0 &&
		    lease_is_over(sight, root->now_ms)) {
			entry->lease_ppb = 0;
			changed = 1;
		}
		if (floor_is_over(sight, root->now_ms)) {
			*entry = next->entries[--next->count];
			changed = 1;
			i--;
		}
	}
	return changed;
}

static int64_t
least(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static at_share_entry_t *
own_entry(at_share_root_t *root, at_share_table_t *next)
{
	at_share_entry_t *own = at_share_table_find(next, root->self.number);

	if (own != NULL)
		return own;
	own = &next->entries[next->count++];
	memset(own, 0, sizeof(*own));
	own->incarnation = root->self;
	return own;
}

static int64_t
target_ppb(const at_share_root_t *root)
{
	return root->floors_ppb / (int64_t)root->instances;
}

/* Settles this instance's floor; returns whether it changed. */
static int
plan_floor(at_share_root_t *root, at_share_entry_t *own, int64_t free_ppb)
{
	int64_t target = target_ppb(root);

	if (root->shrinking) {
		if (!loans_are_over(root) || own->floor_ppb == root->floor_ppb)
			return 0;
		own->floor_ppb = root->floor_ppb;
		return 1;
	}
	if (!root->fleet_known || own->floor_ppb >= target || free_ppb <= 0)
		return 0;
	/* The others of a fleet that starts find something too. */
	own->floor_ppb += least(target - own->floor_ppb, (free_ppb + 1) / 2);
	return 1;
}

static int
plan_lease(at_share_root_t *root, at_share_entry_t *own, int64_t free_ppb)
{
	int64_t target =
	    (AT_PPB_WHOLE - root->floors_ppb) / (int64_t)root->data_centres;

	if (root->holds && !root->leaving) {
		int64_t most = own->lease_ppb + free_ppb;

		if (own->lease_ppb == 0 && most <= 0)
			return 0;
		if (own->lease_ppb < target)
			own->lease_ppb = least(target, most);
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

static int
plan(at_share_root_t *root)
{
	at_share_table_t *next = &root->next;
	at_share_entry_t *own;
	int changed;

	copy_table(next, &root->table);
	changed = reclaim(root, next);
	if (root->leaving) {
		own = at_share_table_find(next, root->self.number);
		if (own == NULL || !loans_are_over(root))
			return changed;
		*own = next->entries[--next->count];
		return 1;
	}
	own = own_entry(root, next);
	changed |=
	    plan_floor(root, own, AT_PPB_WHOLE - at_share_table_sum_ppb(next));
	changed |=
	    plan_lease(root, own, AT_PPB_WHOLE - at_share_table_sum_ppb(next));
	own->renewal = root->renewal + 1;
	return changed;
}

static void
on_answer(void *ctx, const at_store_result_t *result)
{
	at_share_root_t *root = ctx;

	root->answered = 1;
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
rest(at_share_root_t *root, uint64_t wait_ms)
{
	root->state = STATE_IDLE;
	root->next_ms = root->now_ms + wait_ms;
}

static void
retry(at_share_root_t *root)
{
	uint64_t spread_ms = RETRY_MS * ++root->failures;

	if (spread_ms > RETRY_MAX_MS)
		spread_ms = RETRY_MAX_MS;
	rest(root, RETRY_MS / 2 + at_rng_below(&root->rng, spread_ms));
}

static uint64_t
period_ms(const at_share_root_t *root)
{
	if (root->leaving)
		return RETRY_MS;
	if (root->holds && root->floor_ppb > 0)
		return RENEW_MS;
	if (!root->fleet_known || root->floor_ppb < target_ppb(root) / 2)
		return root->alone ? ALONE_MS : JOIN_MS;
	return REREAD_MS;
}

/* A floor that has become too large for the fleet shrinks without a read. */
static void
check_floor(at_share_root_t *root)
{
	int64_t target = target_ppb(root);

	if (root->leaving || root->shrinking || !root->fleet_known ||
	    root->now_ms < root->fleet_ms + SETTLED_MS ||
	    root->floor_ppb <= target + target / 4)
		return;
	shrink(root, target);
}

/* A smaller floor is written once its loans are over. */
static void
check_shrunk(at_share_root_t *root)
{
	if (root->shrinking && root->failures == 0 && loans_are_over(root))
		root->next_ms = root->now_ms;
}

/* What the table says of this instance counts from now on. */
static void
adopt(at_share_root_t *root, const at_share_table_t *table)
{
	const at_share_entry_t *own =
	    at_share_table_find(table, root->self.number);
	int64_t floor_ppb = own == NULL ? 0 : own->floor_ppb;

	if (own == NULL) {
		root->lease_ppb = 0;
		root->lease_expires_ms = 0;
		root->left = root->leaving;
	} else if (own->renewal == root->renewal && !root->leaving) {
		root->lease_ppb = own->lease_ppb;
		root->lease_expires_ms = root->sent_ms + AT_SHARE_TERM_MS;
	}
	if (!root->shrinking || floor_ppb <= root->floor_ppb) {
		root->floor_ppb = floor_ppb;
		root->shrinking = 0;
	}
	apply(root);
}

static void
write_next(at_share_root_t *root)
{
	size_t len;
	char *text = at_share_table_format(&root->next, &len);

	if (text == NULL) {
		retry(root);
		return;
	}
	root->state = STATE_WRITING;
	root->renewal++;
	root->sent_ms = root->now_ms;
	root->store.put(root->store.impl, AT_SHARE_TABLE_OBJECT, root->version,
	    text, len, on_answer, root);
	free(text);
}

static void
have_read(at_share_root_t *root)
{
	at_share_table_t table = {0};

	if (root->code == AT_STORE_NOT_FOUND)
		root->version = 0;
	else if (root->code != AT_STORE_OK || root->value == NULL ||
		 at_share_table_parse(&table, root->value, root->value_len) !=
		     0) {
		retry(root);
		return;
	}
	at_share_table_clear(&root->table);
	root->table = table;
	look(root);
	adopt(root, &root->table);
	if (plan(root))
		write_next(root);
	else
		rest(root, period_ms(root));
}

static void
have_written(at_share_root_t *root)
{
	if (root->code != AT_STORE_OK) {
		retry(root);
		return;
	}
	at_share_table_clear(&root->table);
	root->table = root->next;
	memset(&root->next, 0, sizeof(root->next));
	root->failures = 0;
	look(root);
	adopt(root, &root->table);
	rest(root, period_ms(root));
}

void
at_share_root_tick(at_share_root_t *root, uint64_t now_ms, int64_t lent_ppb)
{
	root->now_ms = now_ms;
	root->lent_ppb = lent_ppb;
	check_floor(root);
	check_shrunk(root);
	if (root->answered) {
		root->answered = 0;
		if (root->state == STATE_READING)
			have_read(root);
		else
			have_written(root);
	}
	if (root->state != STATE_IDLE || now_ms < root->next_ms || root->left ||
	    (!root->fleet_known && !root->leaving))
		return;
	root->state = STATE_READING;
	root->store.get(
	    root->store.impl, AT_SHARE_TABLE_OBJECT, on_answer, root);
}
