#include "almondthread/account.h"

#include <stdlib.h>
#include <string.h>

/* Memory set aside for one load order. */
typedef struct reservation {
	uint64_t id;
	at_resident_t what;
	int shelved;
} reservation_t;

struct at_account {
	uint64_t capacity_mb;
	uint64_t asked_at_ms;
	uint64_t incarnation;
	at_resident_t *residents;
	size_t resident_count;
	reservation_t *reservations;
	size_t reservation_count;
	size_t reservation_room;
};

at_account_t *
at_account_new(void)
{
	return calloc(1, sizeof(at_account_t));
}

void
at_account_set_capacity_mb(at_account_t *account, uint64_t capacity_mb)
{
	account->capacity_mb = capacity_mb;
}

void
at_account_delete(at_account_t *account)
{
	if (account == NULL)
		return;
	free(account->residents);
	free(account->reservations);
	free(account);
}

int
at_slot_equal(const at_resident_t *a, const at_resident_t *b)
{
	return strcmp(a->model.text, b->model.text) == 0 &&
	       strcmp(a->adapter.text, b->adapter.text) == 0;
}

int
at_account_apply_report(at_account_t *account, uint64_t asked_at_ms,
    uint64_t incarnation, const at_resident_t *residents, size_t count)
{
	at_resident_t *copy;
	size_t i;

	if (asked_at_ms == 0 || asked_at_ms < account->asked_at_ms)
		return -1;
	copy = calloc(count + 1, sizeof(*copy));
	if (copy == NULL)
		return -1;
	if (count > 0)
		memcpy(copy, residents, count * sizeof(*copy));
	free(account->residents);
	account->residents = copy;
	account->resident_count = count;
	account->asked_at_ms = asked_at_ms;
	if (incarnation != account->incarnation) {
		for (i = 0; i < account->reservation_count; i++)
			account->reservations[i].shelved = 0;
	}
	account->incarnation = incarnation;
	return 0;
}

uint64_t
at_account_report_requested_at_ms(const at_account_t *account)
{
	return account->asked_at_ms;
}

uint64_t
at_account_incarnation(const at_account_t *account)
{
	return account->incarnation;
}

static const at_resident_t *
find_slot(const at_account_t *account, const at_resident_t *what)
{
	size_t i;

	for (i = 0; i < account->resident_count; i++) {
		if (at_slot_equal(&account->residents[i], what))
			return &account->residents[i];
	}
	return NULL;
}

const at_resident_t *
at_account_find(
    const at_account_t *account, const char *model, const char *adapter)
{
	size_t i;

	for (i = 0; i < account->resident_count; i++) {
		const at_resident_t *r = &account->residents[i];

		if (strcmp(r->model.text, model) == 0 &&
		    strcmp(r->adapter.text, adapter) == 0)
			return r;
	}
	return NULL;
}

const at_resident_t *
at_account_residents(const at_account_t *account, size_t *count)
{
	*count = account->resident_count;
	return account->residents;
}

/*
 * Returns the memory that reservation index adds to the reservations before
 * it in the same slot. With restarted, shelved ones count as well.
 */
static uint64_t
added_mb(const at_account_t *account, size_t index, int restarted)
{
	const reservation_t *own = &account->reservations[index];
	uint64_t covered_mb = 0;
	size_t i;

	if (own->shelved && !restarted)
		return 0;
	for (i = 0; i < index; i++) {
		const reservation_t *r = &account->reservations[i];

		if ((restarted || !r->shelved) &&
		    at_slot_equal(&r->what, &own->what) &&
		    r->what.memory_mb > covered_mb)
			covered_mb = r->what.memory_mb;
	}
	if (!restarted) {
		const at_resident_t *held = find_slot(account, &own->what);

		if (held != NULL && held->memory_mb > covered_mb)
			covered_mb = held->memory_mb;
	}
	return own->what.memory_mb > covered_mb
		   ? own->what.memory_mb - covered_mb
		   : 0;
}

static uint64_t
reserved_mb(const at_account_t *account, int restarted)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < account->reservation_count; i++)
		sum += added_mb(account, i, restarted);
	return sum;
}

uint64_t
at_account_committed_mb(const at_account_t *account)
{
	uint64_t sum = reserved_mb(account, 0);
	size_t i;

	for (i = 0; i < account->resident_count; i++)
		sum += account->residents[i].memory_mb;
	return sum;
}

uint64_t
at_account_capacity_mb(const at_account_t *account)
{
	return account->capacity_mb;
}

uint64_t
at_account_free_mb(const at_account_t *account)
{
	uint64_t committed = at_account_committed_mb(account);
	uint64_t restarted = reserved_mb(account, 1);
	uint64_t used = committed > restarted ? committed : restarted;

	if (account->asked_at_ms == 0 || used >= account->capacity_mb)
		return 0;
	return account->capacity_mb - used;
}

int
at_account_reserve_unchecked(
    at_account_t *account, uint64_t id, const at_resident_t *what)
{
	reservation_t *r;

	if (account->reservation_count == account->reservation_room) {
		size_t room = 2 * account->reservation_room + 4;

		r = realloc(account->reservations, room * sizeof(*r));
		if (r == NULL)
			return -1;
		account->reservations = r;
		account->reservation_room = room;
	}
	r = &account->reservations[account->reservation_count++];
	memset(r, 0, sizeof(*r));
	r->id = id;
	r->what = *what;
	return 0;
}

int
at_account_reserve(
    at_account_t *account, uint64_t id, const at_resident_t *what)
{
	if (account->asked_at_ms == 0 ||
	    at_account_reserve_unchecked(account, id, what) != 0)
		return -1;
	if (at_account_committed_mb(account) <= account->capacity_mb &&
	    reserved_mb(account, 1) <= account->capacity_mb)
		return 0;
	at_account_release(account, id);
	return -1;
}

static reservation_t *
find_reservation(const at_account_t *account, uint64_t id)
{
	size_t i;

	for (i = 0; i < account->reservation_count; i++) {
		if (account->reservations[i].id == id)
			return &account->reservations[i];
	}
	return NULL;
}

void
at_account_suspend(at_account_t *account, uint64_t id)
{
	reservation_t *r = find_reservation(account, id);

	if (r != NULL)
		r->shelved = 1;
}

void
at_account_release(at_account_t *account, uint64_t id)
{
	reservation_t *r = find_reservation(account, id);

	if (r == NULL)
		return;
	account->reservation_count--;
	*r = account->reservations[account->reservation_count];
}
