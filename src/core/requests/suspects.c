#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "core/requests/suspects_internal.h"

at_suspects_t *
at_suspects_new(void)
{
	return calloc(1, sizeof(at_suspects_t));
}

static void
flights_free(at_execution_t **list)
{
	at_execution_t *flight;
	at_execution_t *next;

	DL_FOREACH_SAFE(*list, flight, next)
	{
		DL_DELETE(*list, flight);
		free(flight);
	}
}

void
at_suspects_delete(at_suspects_t *s)
{
	entry_t *entry;
	entry_t *next_entry;
	place_t *place;
	place_t *next_place;

	if (s == NULL)
		return;
	HASH_ITER(hh, s->entries, entry, next_entry)
	{
		HASH_DEL(s->entries, entry);
		free(entry);
	}
	HASH_ITER(hh, s->places, place, next_place)
	{
		HASH_DEL(s->places, place);
		flights_free(&place->open);
		flights_free(&place->ended);
		free(place);
	}
	free(s);
}

void
at_suspects_set_events(at_suspects_t *s, const at_suspects_events_t *events)
{
	s->events = *events;
}

static place_t *
find_place(const at_suspects_t *s, const char *name)
{
	place_t *place;

	HASH_FIND_STR(s->places, name, place);
	return place;
}

static place_t *
find_or_add_place(at_suspects_t *s, const at_name_t *name)
{
	place_t *place = find_place(s, name->text);

	if (place != NULL)
		return place;
	place = calloc(1, sizeof(*place));
	if (place == NULL)
		return NULL;
	place->name = *name;
	HASH_ADD_KEYPTR(
	    hh, s->places, place->name.text, strlen(place->name.text), place);
	return place;
}

static void
leave_place(at_suspects_t *s, place_t *place)
{
	if (place->open != NULL || place->ended != NULL ||
	    place->crashed_at_ms != 0)
		return;
	HASH_DEL(s->places, place);
	free(place);
}

static int
is_suspect(at_suspicion_t suspicion)
{
	return suspicion != AT_SUSPICION_CLEAR &&
	       suspicion != AT_SUSPICION_LIFTED;
}

at_execution_t *
at_suspects_begin_execution(at_suspects_t *s,
    const at_fingerprint_t *fingerprint, const at_name_t *backend,
    uint64_t now_ms)
{
	at_suspicion_t suspicion = at_suspects_check(s, fingerprint, now_ms);
	place_t *place = find_or_add_place(s, backend);
	at_execution_t *flight = calloc(1, sizeof(*flight));

	if (place == NULL || flight == NULL) {
		free(flight);
		return NULL;
	}
	flight->fingerprint = *fingerprint;
	flight->place = place;
	flight->suspect = is_suspect(suspicion);
	flight->alone = suspicion == AT_SUSPICION_ISOLATED;
	DL_PREPEND(place->open, flight);
	return flight;
}

/* It ended at the crash, or so shortly before that it may have run on. */
static int
is_victim(const place_t *place, const at_execution_t *flight)
{
	return flight->ended_at_ms + AT_SUSPECTS_ENDED_WINDOW_MS >=
	       place->crashed_at_ms;
}

/* What was lost there was lost by a crash. */
static void
confirm(at_suspects_t *s, place_t *place)
{
	at_execution_t *flight;

	DL_FOREACH(place->ended, flight)
	{
		entry_t *entry = suspects_find(s, &flight->fingerprint);

		if (entry == NULL || !flight->doubted || flight->confirmed ||
		    !is_victim(place, flight))
			continue;
		flight->confirmed = 1;
		entry->confirmed++;
	}
}

/* The flight waits for the word whether its backend server crashed. */
static void
keep(at_suspects_t *s, at_execution_t *flight, int lost, uint64_t now_ms)
{
	entry_t *entry = NULL;

	if (lost && !suspects_is_none(&flight->fingerprint))
		entry = suspects_find_or_add(s, &flight->fingerprint);

	if (entry != NULL) {
		entry->pending++;
		flight->doubted = 1;
	}
	flight->ended_at_ms = now_ms;
	DL_PREPEND(flight->place->ended, flight);
	if (flight->place->crashed_at_ms != 0)
		confirm(s, flight->place);
}

void
at_suspects_end_execution(at_suspects_t *s, at_execution_t *flight,
    at_execution_end_t end, uint64_t now_ms)
{
	place_t *place;

	if (flight == NULL)
		return;
	place = flight->place;
	DL_DELETE(place->open, flight);
	if (end == AT_EXECUTION_CONNECTION_LOST ||
	    end == AT_EXECUTION_CANCELLED) {
		keep(s, flight, end == AT_EXECUTION_CONNECTION_LOST, now_ms);
	} else {
		if (end == AT_EXECUTION_COMPLETED)
			suspects_clear(s, &flight->fingerprint);
		free(flight);
	}
	leave_place(s, place);
}

/* Takes a flight out of the question; clears what only it tainted. */
static void
drop(at_suspects_t *s, place_t *place, at_execution_t *flight)
{
	entry_t *entry =
	    flight->doubted ? suspects_find(s, &flight->fingerprint) : NULL;

	if (entry != NULL && entry->pending > 0)
		entry->pending--;
	if (entry != NULL && flight->confirmed && entry->confirmed > 0)
		entry->confirmed--;
	if (entry != NULL && entry->pending == 0 &&
	    entry->suspect.suspicion == AT_SUSPICION_CLEAR)
		suspects_remove(s, entry);
	DL_DELETE(place->ended, flight);
	free(flight);
}

/* Drops what ended before a time, lost by doubt or left by us. */
static void
drop_before(at_suspects_t *s, place_t *place, int doubted, uint64_t time_ms)
{
	at_execution_t *flight;
	at_execution_t *next;

	DL_FOREACH_SAFE(place->ended, flight, next)
	{
		if (flight->doubted == doubted && flight->ended_at_ms < time_ms)
			drop(s, place, flight);
	}
}

void
at_suspects_note_alive(
    at_suspects_t *s, const at_name_t *backend, uint64_t since_ms)
{
	place_t *place = find_place(s, backend->text);

	if (place == NULL || place->crashed_at_ms != 0)
		return;
	drop_before(s, place, 1, since_ms);
	leave_place(s, place);
}

static int
same(const at_fingerprint_t *a, const at_fingerprint_t *b)
{
	return a->high == b->high && a->low == b->low;
}

static void
add_victim(place_t *place, const at_fingerprint_t *fingerprint)
{
	size_t i;

	for (i = 0; i < place->victim_count; i++) {
		if (same(&place->victims[i], fingerprint))
			return;
	}
	if (place->victim_count < VICTIMS_MAX)
		place->victims[place->victim_count++] = *fingerprint;
}

static void
tell(at_suspects_t *s, place_t *place)
{
	at_fingerprint_t own[VICTIMS_MAX];
	const at_execution_t *flight;
	size_t count = 0;

	place->told = 1;
	DL_FOREACH(place->ended, flight)
	{
		if (count < VICTIMS_MAX && is_victim(place, flight))
			own[count++] = flight->fingerprint;
	}
	if (count > 0 && s->events.on_crash != NULL)
		s->events.on_crash(s->events.ctx, &place->name, own, count);
}

/* Takes the victims out of what has ended. */
static void
collect(at_suspects_t *s, place_t *place)
{
	at_execution_t *flight;
	at_execution_t *next;

	DL_FOREACH_SAFE(place->ended, flight, next)
	{
		if (is_victim(place, flight))
			add_victim(place, &flight->fingerprint);
		/* One that we left may run on and crash it again. */
		if (flight->doubted)
			drop(s, place, flight);
	}
}

void
at_suspects_note_crash(
    at_suspects_t *s, const at_name_t *backend, uint64_t now_ms)
{
	place_t *place = find_place(s, backend->text);

	if (place == NULL)
		return;
	/* Crashes too close to be told apart are judged as one. */
	if (place->crashed_at_ms != 0) {
		/* Also what this crash has ended already. */
		tell(s, place);
		collect(s, place);
		place->told = 0;
	}
	place->crashed_at_ms = now_ms;
	confirm(s, place);
}

void
at_suspects_apply_peer_crash(at_suspects_t *s, const at_name_t *backend,
    const at_fingerprint_t *victims, size_t count, uint64_t now_ms)
{
	place_t *place = find_or_add_place(s, backend);
	size_t i;

	if (place == NULL)
		return;
	if (place->crashed_at_ms == 0)
		place->crashed_at_ms = now_ms - AT_SUSPECTS_REPORT_DELAY_MS;
	confirm(s, place);
	for (i = 0; i < count; i++)
		add_victim(place, &victims[i]);
}

/* All that was in flight is known: who was alone? */
static void
judge(at_suspects_t *s, place_t *place, uint64_t now_ms)
{
	size_t i;

	collect(s, place);
	for (i = 0; i < place->victim_count; i++)
		suspects_add_crash(s, &place->victims[i], place, now_ms);
	place->victim_count = 0;
	place->crashed_at_ms = 0;
	place->told = 0;
}

static void
tick_place(at_suspects_t *s, place_t *place, uint64_t now_ms)
{
	uint64_t crashed_at_ms = place->crashed_at_ms;

	if (crashed_at_ms == 0) {
		if (now_ms > AT_SUSPECTS_UNCONFIRMED_MAX_MS)
			drop_before(s, place, 1,
			    now_ms - AT_SUSPECTS_UNCONFIRMED_MAX_MS);
		if (now_ms > AT_SUSPECTS_ENDED_WINDOW_MS)
			drop_before(
			    s, place, 0, now_ms - AT_SUSPECTS_ENDED_WINDOW_MS);
		return;
	}
	if (!place->told &&
	    now_ms >= crashed_at_ms + AT_SUSPECTS_REPORT_DELAY_MS)
		tell(s, place);
	if (now_ms >= crashed_at_ms + AT_SUSPECTS_DECISION_DELAY_MS)
		judge(s, place, now_ms);
}

void
at_suspects_tick(at_suspects_t *s, uint64_t now_ms)
{
	entry_t *entry;
	entry_t *next_entry;
	place_t *place;
	place_t *next_place;

	HASH_ITER(hh, s->places, place, next_place)
	{
		tick_place(s, place, now_ms);
		leave_place(s, place);
	}
	HASH_ITER(hh, s->entries, entry, next_entry)
	{
		if (entry->pending == 0 &&
		    now_ms >= entry->suspect.expires_at_ms)
			suspects_remove(s, entry);
	}
}

int
at_suspects_may_run(const at_suspects_t *s, const at_fingerprint_t *fingerprint,
    const char *backend, uint64_t now_ms)
{
	at_suspicion_t suspicion = at_suspects_check(s, fingerprint, now_ms);
	const place_t *place = find_place(s, backend);
	const at_execution_t *flight;

	if (suspicion == AT_SUSPICION_UNCONFIRMED ||
	    suspicion == AT_SUSPICION_PENDING ||
	    suspicion == AT_SUSPICION_BLOCKED)
		return 0;
	if (place == NULL || place->open == NULL)
		return 1;
	if (suspicion == AT_SUSPICION_ISOLATED)
		return 0;
	DL_FOREACH(place->open, flight)
	{
		if (flight->alone)
			return 0;
		if (flight->suspect && suspicion == AT_SUSPICION_SUSPECT)
			return 0;
	}
	return 1;
}
