#include "almondthread/account.h"

#include <stdlib.h>
#include <string.h>

/* Memory reserved for one load order. */
typedef struct reservation {
	uint64_t id;
	at_resident_t resident;
	int is_suspended;
} reservation_t;

struct at_account {
	uint64_t capacity_mb;
	uint64_t requested_at_ms;
	uint64_t incarnation;
	at_resident_t *residents;
	size_t resident_count;
	reservation_t *reservations;
	size_t reservation_count;
	size_t reservation_capacity;
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
at_account_apply_report(at_account_t *account, uint64_t requested_at_ms,
    uint64_t incarnation, const at_resident_t *residents, size_t count)
{
	at_resident_t *copy;
	size_t i;

	if (requested_at_ms == 0 || requested_at_ms < account->requested_at_ms)
		return -1;
	copy = calloc(count + 1, sizeof(*copy));
	if (copy == NULL)
		return -1;
	if (count > 0)
		memcpy(copy, residents, count * sizeof(*copy));
	free(account->residents);
	account->residents = copy;
	account->resident_count = count;
	account->requested_at_ms = requested_at_ms;
	if (incarnation != account->incarnation) {
		for (i = 0; i < account->reservation_count; i++)
			account->reservations[i].is_suspended = 0;
	}
	account->incarnation = incarnation;
	return 0;
}

uint64_t
at_account_report_requested_at_ms(const at_account_t *account)
{
	return account->requested_at_ms;
}

uint64_t
at_account_incarnation(const at_account_t *account)
{
	return account->incarnation;
}

static const at_resident_t *
find_slot(const at_account_t *account, const at_resident_t *resident)
{
	size_t i;

	for (i = 0; i < account->resident_count; i++) {
		if (at_slot_equal(&account->residents[i], resident))
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
 * Returns the memory that the reservation at index adds to those before it in
 * the same slot. Suspended reservations count only if restarted is set, which
 * stands for an engine that has restarted.
 */
static uint64_t
added_mb(const at_account_t *account, size_t index, int restarted)
{
	const reservation_t *own = &account->reservations[index];
	uint64_t covered_mb = 0;
	size_t i;

	if (own->is_suspended && !restarted)
		return 0;
	for (i = 0; i < index; i++) {
		const reservation_t *r = &account->reservations[i];

		if ((restarted || !r->is_suspended) &&
		    at_slot_equal(&r->resident, &own->resident) &&
		    r->resident.memory_mb > covered_mb)
			covered_mb = r->resident.memory_mb;
	}
	if (!restarted) {
		const at_resident_t *reported =
		    find_slot(account, &own->resident);

		if (reported != NULL && reported->memory_mb > covered_mb)
			covered_mb = reported->memory_mb;
	}
	return own->resident.memory_mb > covered_mb
		   ? own->resident.memory_mb - covered_mb
		   : 0;
}

static uint64_t
reserved_mb(const at_account_t *account, int restarted)
{
	uint64_t sum_mb = 0;
	size_t i;

	for (i = 0; i < account->reservation_count; i++)
		sum_mb += added_mb(account, i, restarted);
	return sum_mb;
}

uint64_t
at_account_committed_mb(const at_account_t *account)
{
	uint64_t sum_mb = reserved_mb(account, 0);
	size_t i;

	for (i = 0; i < account->resident_count; i++)
		sum_mb += account->residents[i].memory_mb;
	return sum_mb;
}

uint64_t
at_account_capacity_mb(const at_account_t *account)
{
	return account->capacity_mb;
}

uint64_t
at_account_free_mb(const at_account_t *account)
{
	uint64_t committed_mb = at_account_committed_mb(account);
	uint64_t restarted_mb = reserved_mb(account, 1);
	uint64_t used_mb =
	    committed_mb > restarted_mb ? committed_mb : restarted_mb;

	if (account->requested_at_ms == 0 || used_mb >= account->capacity_mb)
		return 0;
	return account->capacity_mb - used_mb;
}

int
at_account_reserve_unchecked(
    at_account_t *account, uint64_t id, const at_resident_t *resident)
{
	reservation_t *r;

	if (account->reservation_count == account->reservation_capacity) {
		size_t capacity = 2 * account->reservation_capacity + 4;

		r = realloc(account->reservations, capacity * sizeof(*r));
		if (r == NULL)
			return -1;
		account->reservations = r;
		account->reservation_capacity = capacity;
	}
	r = &account->reservations[account->reservation_count++];
	memset(r, 0, sizeof(*r));
	r->id = id;
	r->resident = *resident;
	return 0;
}

int
at_account_reserve(
    at_account_t *account, uint64_t id, const at_resident_t *resident)
{
	if (account->requested_at_ms == 0 ||
	    at_account_reserve_unchecked(account, id, resident) != 0)
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
		r->is_suspended = 1;
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
