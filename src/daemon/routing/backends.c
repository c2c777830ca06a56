#include "daemon/routing/backends.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "io/clock.h"

typedef struct entry {
	at_backend_t backend;
	UT_hash_handle hh;
} entry_t;

struct at_backends {
	entry_t *table;
	void (*on_remove)(void *ctx, at_backend_t *backend);
	void *ctx;
};

at_backends_t *
at_backends_new(void)
{
	return calloc(1, sizeof(at_backends_t));
}

static void
entry_delete(at_backends_t *backends, entry_t *entry)
{
	assert(backends->table != NULL);
	HASH_DEL(backends->table, entry);
	free(entry->backend.view.residents);
	free(entry);
}

void
at_backends_delete(at_backends_t *backends)
{
	entry_t *entry;
	entry_t *next;

	if (backends == NULL)
		return;
	HASH_ITER(hh, backends->table, entry, next)
	{
		entry_delete(backends, entry);
	}
	free(backends);
}

static entry_t *
find_entry(at_backends_t *backends, const char *name)
{
	entry_t *entry;

	HASH_FIND_STR(backends->table, name, entry);
	return entry;
}

at_backend_t *
at_backends_find(at_backends_t *backends, const char *name)
{
	entry_t *entry = find_entry(backends, name);

	return entry == NULL ? NULL : &entry->backend;
}

static void
update_entry(at_backends_t *backends, const at_instance_t *instance)
{
	entry_t *entry = find_entry(backends, instance->name.text);

	if (entry == NULL) {
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL)
			return;
		entry->backend.instance = *instance;
		at_budget_init(&entry->backend.budget, at_clock_now_ms());
		HASH_ADD_KEYPTR(hh, backends->table,
		    entry->backend.instance.name.text,
		    strlen(instance->name.text), entry);
	}
	entry->backend.instance = *instance;
	entry->backend.is_listed = 1;
}

void
at_backends_set_remove_handler(at_backends_t *backends,
    void (*on_remove)(void *ctx, at_backend_t *backend), void *ctx)
{
	backends->on_remove = on_remove;
	backends->ctx = ctx;
}

void
at_backends_update(
    at_backends_t *backends, const at_instance_t *instances, size_t count)
{
	entry_t *entry;
	entry_t *next;
	size_t i;

	HASH_ITER(hh, backends->table, entry, next)
	{
		entry->backend.is_listed = 0;
	}
	for (i = 0; i < count; i++) {
		if (instances[i].kind != AT_INSTANCE_ENTRY)
			update_entry(backends, &instances[i]);
	}
	HASH_ITER(hh, backends->table, entry, next)
	{
		const at_backend_t *backend = &entry->backend;

		if (backend->is_listed || backend->outstanding > 0 ||
		    backend->is_polling)
			continue;
		if (backends->on_remove != NULL)
			backends->on_remove(backends->ctx, &entry->backend);
		entry_delete(backends, entry);
	}
}

void
at_backends_each(at_backends_t *backends,
    void (*visit)(void *ctx, at_backend_t *backend), void *ctx)
{
	entry_t *entry;
	entry_t *next;

	HASH_ITER(hh, backends->table, entry, next)
	{
		visit(ctx, &entry->backend);
	}
}

static int
is_candidate(const at_backend_t *backend, const char *service)
{
	return backend->is_listed && !backend->is_excluded &&
	       !backend->instance.is_leaving &&
	       backend->instance.kind == AT_INSTANCE_SERVICE &&
	       strcmp(backend->instance.service.text, service) == 0;
}

/* Weights, in outstanding requests; the lowest total is chosen. */
#define FAILURE_WEIGHT 1000u   /* each consecutive failure */
#define REMOTE_WEIGHT 100000u  /* another data centre */
#define AVOID_WEIGHT 10000000u /* the backend server to avoid */

static uint64_t
compute_weight(const at_backend_t *backend, const at_name_t *data_centre,
    const at_name_t *avoid)
{
	uint64_t weight = backend->outstanding;

	weight += (uint64_t)backend->failures * FAILURE_WEIGHT;
	if (!at_name_equal(&backend->instance.data_centre, data_centre))
		weight += REMOTE_WEIGHT;
	if (avoid != NULL && at_name_equal(&backend->instance.name, avoid))
		weight += AVOID_WEIGHT;
	return weight;
}

at_backend_t *
at_backends_choose(at_backends_t *backends, const char *service,
    const at_name_t *data_centre, const at_name_t *avoid)
{
	at_backend_t *best = NULL;
	uint64_t best_weight = UINT64_MAX;
	entry_t *entry;

	for (entry = backends->table; entry != NULL; entry = entry->hh.next) {
		at_backend_t *backend = &entry->backend;
		uint64_t weight;

		if (!is_candidate(backend, service))
			continue;
		weight = compute_weight(backend, data_centre, avoid);
		if (weight < best_weight) {
			best = backend;
			best_weight = weight;
		}
	}
	return best;
}
