#include <stdlib.h>

#include "core/requests/suspects_internal.h"

/* Number of crashes after which a fingerprint is blocked or isolated. */
#define BLOCKING_CRASHES 2u

const char *const at_suspicion_names[] = {
    "clear", "suspect", "held", "doubted", "pending", "convicted", "lifted"};

entry_t *
suspects_find(
    const at_suspects_t *suspects, const at_fingerprint_t *fingerprint)
{
	entry_t *entry;

	HASH_FIND(
	    hh, suspects->entries, fingerprint, sizeof(*fingerprint), entry);
	return entry;
}

void
suspects_remove(at_suspects_t *suspects, entry_t *entry)
{
	HASH_DEL(suspects->entries, entry);
	free(entry);
}

/* Removes the entry that expires first when the table is full. */
static void
evict_if_full(at_suspects_t *suspects)
{
	entry_t *first_to_expire = suspects->entries;
	entry_t *entry;

	if (HASH_COUNT(suspects->entries) < AT_SUSPECTS_MAX)
		return;
	for (entry = suspects->entries; entry != NULL; entry = entry->hh.next) {
		if (entry->suspect.expires_at_ms <
		    first_to_expire->suspect.expires_at_ms)
			first_to_expire = entry;
	}
	suspects_remove(suspects, first_to_expire);
}

entry_t *
suspects_find_or_add(
    at_suspects_t *suspects, const at_fingerprint_t *fingerprint)
{
	entry_t *entry = suspects_find(suspects, fingerprint);

	if (entry != NULL)
		return entry;
	evict_if_full(suspects);
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return NULL;
	entry->suspect.fingerprint = *fingerprint;
	HASH_ADD(hh, suspects->entries, suspect.fingerprint,
	    sizeof(entry->suspect.fingerprint), entry);
	return entry;
}

at_suspicion_t
at_suspects_check(const at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, uint64_t now_ms)
{
	const entry_t *entry = suspects_find(suspects, fingerprint);

	if (entry == NULL)
		return AT_SUSPICION_CLEAR;
	if (entry->pending + entry->suspect.crashes >= BLOCKING_CRASHES &&
	    entry->pending > 0)
		return entry->confirmed > 0 ? AT_SUSPICION_PENDING
					    : AT_SUSPICION_UNCONFIRMED;
	if (entry->pending > 0)
		return AT_SUSPICION_SUSPECT;
	if (now_ms >= entry->suspect.expires_at_ms)
		return AT_SUSPICION_CLEAR;
	return entry->suspect.suspicion;
}

const at_suspect_t *
at_suspects_get(
    const at_suspects_t *suspects, const at_fingerprint_t *fingerprint)
{
	const entry_t *entry = suspects_find(suspects, fingerprint);

	return entry == NULL ? NULL : &entry->suspect;
}

int
suspects_is_none(const at_fingerprint_t *fingerprint)
{
	return fingerprint->high == 0 && fingerprint->low == 0;
}

void
suspects_clear(at_suspects_t *suspects, const at_fingerprint_t *fingerprint)
{
	entry_t *entry = suspects_find(suspects, fingerprint);

	if (entry == NULL || entry->pending > 0 ||
	    entry->suspect.suspicion == AT_SUSPICION_BLOCKED ||
	    entry->suspect.suspicion == AT_SUSPICION_LIFTED)
		return;
	suspects_remove(suspects, entry);
}

void
suspects_add_crash(at_suspects_t *suspects, const at_fingerprint_t *fingerprint,
    const server_t *server, uint64_t now_ms)
{
	entry_t *entry;
	at_suspect_t *suspect;

	if (suspects_is_none(fingerprint))
		return;
	entry = suspects_find_or_add(suspects, fingerprint);
	if (entry == NULL)
		return;
	suspect = &entry->suspect;
	/* Crashes before the lifting do not count. */
	if (suspect->suspicion == AT_SUSPICION_LIFTED &&
	    server->crashed_at_ms <= entry->lifted_at_ms)
		return;
	suspect->crashes++;
	suspect->expires_at_ms = now_ms + AT_SUSPECTS_LIFETIME_MS;
	if (suspect->suspicion == AT_SUSPICION_BLOCKED)
		return;
	if (suspect->crashes < BLOCKING_CRASHES)
		suspect->suspicion = AT_SUSPICION_SUSPECT;
	else
		suspect->suspicion = server->victim_count == 1
					 ? AT_SUSPICION_BLOCKED
					 : AT_SUSPICION_ISOLATED;
	if (suspect->suspicion == AT_SUSPICION_BLOCKED &&
	    suspects->events.on_change != NULL)
		suspects->events.on_change(suspects->events.ctx, suspect);
}

void
at_suspects_apply_peer_decision(at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, at_suspicion_t suspicion,
    uint64_t lifetime_ms, uint64_t now_ms)
{
	entry_t *entry;

	if (suspicion != AT_SUSPICION_BLOCKED &&
	    suspicion != AT_SUSPICION_LIFTED)
		return;
	entry = suspects_find_or_add(suspects, fingerprint);
	if (entry == NULL || entry->suspect.suspicion == AT_SUSPICION_LIFTED)
		return;
	if (lifetime_ms > AT_SUSPECTS_LIFETIME_MS)
		lifetime_ms = AT_SUSPECTS_LIFETIME_MS;
	entry->suspect.suspicion = suspicion;
	entry->suspect.expires_at_ms = now_ms + lifetime_ms;
	if (suspicion == AT_SUSPICION_LIFTED) {
		entry->suspect.crashes = 0;
		entry->lifted_at_ms = now_ms;
	}
}

int
at_suspects_is_unrestricted(const at_suspects_t *suspects)
{
	return suspects->entries == NULL;
}

int
at_suspects_lift(at_suspects_t *suspects, const at_fingerprint_t *fingerprint,
    uint64_t now_ms)
{
	entry_t *entry = suspects_find(suspects, fingerprint);

	if (entry == NULL)
		return -1;
	entry->suspect.suspicion = AT_SUSPICION_LIFTED;
	entry->suspect.crashes = 0;
	entry->suspect.expires_at_ms = now_ms + AT_SUSPECTS_LIFETIME_MS;
	entry->lifted_at_ms = now_ms;
	if (suspects->events.on_change != NULL)
		suspects->events.on_change(
		    suspects->events.ctx, &entry->suspect);
	return 0;
}

void
at_suspects_each(const at_suspects_t *suspects,
    void (*visit)(void *ctx, const at_suspect_t *suspect), void *ctx)
{
	const entry_t *entry;

	for (entry = suspects->entries; entry != NULL; entry = entry->hh.next)
		visit(ctx, &entry->suspect);
}
