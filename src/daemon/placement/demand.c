#include "daemon/placement/demand.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "demand.pb-c.h"

#define ENTRY_REQUESTS_MAX 100000u /* limit for one entry of a message */

typedef struct entry {
	at_name_t name;
	uint64_t tokens;
	uint32_t requests;
	UT_hash_handle hh;
} entry_t;

struct at_demand {
	entry_t *entries;
};

at_demand_t *
at_demand_new(void)
{
	return calloc(1, sizeof(at_demand_t));
}

static void
remove_all(at_demand_t *demand)
{
	entry_t *entry;
	entry_t *next;

	HASH_ITER(hh, demand->entries, entry, next)
	{
		HASH_DEL(demand->entries, entry);
		free(entry);
	}
}

void
at_demand_delete(at_demand_t *demand)
{
	if (demand == NULL)
		return;
	remove_all(demand);
	free(demand);
}

void
at_demand_add(at_demand_t *demand, const char *name, uint64_t tokens)
{
	entry_t *entry;

	HASH_FIND_STR(demand->entries, name, entry);
	if (entry == NULL) {
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL || at_name_set(&entry->name, name) != 0) {
			free(entry);
			return;
		}
		HASH_ADD_STR(demand->entries, name.text, entry);
	}
	entry->tokens += tokens;
	entry->requests++;
}

static void
add_requests(at_placement_t *placement, const char *name, uint64_t tokens,
    uint32_t requests)
{
	uint32_t i;

	for (i = 0; i < requests; i++)
		at_placement_add_demand(placement, name, tokens / requests);
}

/* Packs all entries; returns the length, or 0 if out of memory. */
static size_t
pack(const at_demand_t *demand, uint8_t **out)
{
	size_t count = HASH_COUNT(demand->entries);
	Almondthread__Demand message = ALMONDTHREAD__DEMAND__INIT;
	Almondthread__DemandEntry *entries = calloc(count, sizeof(*entries));
	Almondthread__DemandEntry **pointers = calloc(count, sizeof(void *));
	entry_t *entry;
	size_t len = 0;
	size_t i = 0;

	*out = NULL;
	if (entries != NULL && pointers != NULL) {
		for (entry = demand->entries; entry != NULL;
		     entry = entry->hh.next, i++) {
			almondthread__demand_entry__init(&entries[i]);
			entries[i].name = entry->name.text;
			entries[i].tokens = entry->tokens;
			entries[i].requests = entry->requests;
			pointers[i] = &entries[i];
		}
		message.n_entries = count;
		message.entries = pointers;
		len = almondthread__demand__get_packed_size(&message);
		*out = malloc(len);
		if (*out != NULL)
			(void)almondthread__demand__pack(&message, *out);
	}
	free(entries);
	free(pointers);
	return *out == NULL ? 0 : len;
}

void
at_demand_flush(at_demand_t *demand, at_placement_t *planner, at_peers_t *peers,
    const at_name_t *const *names, size_t count)
{
	entry_t *entry;
	uint8_t *data;
	size_t len;
	size_t i;

	if (demand->entries == NULL)
		return;
	for (entry = demand->entries; planner != NULL && entry != NULL;
	     entry = entry->hh.next)
		add_requests(
		    planner, entry->name.text, entry->tokens, entry->requests);
	len = count > 0 ? pack(demand, &data) : 0;
	if (len > 0) {
		for (i = 0; i < count; i++)
			(void)at_peers_send(
			    peers, names[i], AT_PEER_DEMAND, data, len);
		free(data);
	}
	remove_all(demand);
}

void
at_demand_apply_message(at_placement_t *placement, const void *data, size_t len)
{
	Almondthread__Demand *message =
	    almondthread__demand__unpack(NULL, len, data);
	size_t i;

	if (message == NULL)
		return;
	for (i = 0; i < message->n_entries; i++) {
		const Almondthread__DemandEntry *entry = message->entries[i];

		if (entry->requests > 0 &&
		    entry->requests <= ENTRY_REQUESTS_MAX)
			add_requests(placement, entry->name, entry->tokens,
			    entry->requests);
	}
	almondthread__demand__free_unpacked(message, NULL);
}
