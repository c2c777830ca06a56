/*
 * evacuations.c - merges what instances know of evacuated data centres, and
 * decides when the reader of a data centre asks the store.
 *
 * It is designed for this load pattern: an operator evacuates a data centre and
 * removes that again within seconds, while the store is slow, loses responses
 * or histories, and instances are cut off from each other or from the store, in
 * any order. What was removed must not come back with the report of an instance
 * that was cut off meanwhile.
 */
#include "almondthread/evacuations.h"

#include <string.h>

/*
 * A watch lasts a part of the bound: one whose history is lost shows no changes
 * for that time, then the list is read.
 */
#define WATCH_PARTS 4u
/*
 * In percent of the bound: how long a response may take beyond the watch. With
 * 5 s a platform that takes 2 s for each response is read, and after a lost
 * response there is time for another call.
 */
#define ALLOWANCE_PERCENT 40u
/* In ms. A shorter bound is treated as this one, which limits the calls. */
#define BOUND_MIN_MS 400u
/* A list call is made at most once in this part of the bound. */
#define LIST_PARTS 2u
/* A watch that responds at once, to find out whether the store does. */
#define NO_WAIT_MS 1u
/* Delay after a call that was refused, in ms, doubled up to 8 times that. */
#define RETRY_DELAY_MS 100u
#define RETRY_DOUBLINGS_MAX 3u
/* From here on the store counts as slow, not as one that lost a response. */
#define SLOW_FAILURES 2u

void
at_evacuations_init(
    at_evacuations_t *evacuations, at_evacuation_change_t on_change, void *ctx)
{
	memset(evacuations, 0, sizeof(*evacuations));
	evacuations->on_change = on_change;
	evacuations->ctx = ctx;
}

static size_t
find(const at_evacuation_t *entries, size_t count, const at_name_t *data_centre)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (at_name_equal(&entries[i].data_centre, data_centre))
			break;
	}
	return i;
}

/* Returns NULL if all places are taken by data centres that are evacuated. */
static at_evacuation_t *
make_room(at_evacuations_t *evacuations)
{
	at_evacuation_t *oldest = NULL;
	size_t i;

	if (evacuations->count < AT_EVACUATIONS_MAX)
		return &evacuations->entries[evacuations->count++];
	for (i = 0; i < evacuations->count; i++) {
		at_evacuation_t *entry = &evacuations->entries[i];

		if (!entry->is_evacuated &&
		    (oldest == NULL || entry->version < oldest->version))
			oldest = entry;
	}
	return oldest;
}

static void
set_entry(at_evacuations_t *evacuations, at_evacuation_t *entry,
    int is_evacuated, uint64_t version, uint64_t now_ms)
{
	int is_changed = entry->is_evacuated != is_evacuated;

	entry->version = version;
	entry->changed_ms = now_ms;
	entry->is_evacuated = is_evacuated;
	if (is_changed && evacuations->on_change != NULL)
		evacuations->on_change(evacuations->ctx, entry);
}

int
at_evacuations_apply(at_evacuations_t *evacuations,
    const at_evacuation_t *entry, uint64_t now_ms)
{
	size_t i =
	    find(evacuations->entries, evacuations->count, &entry->data_centre);
	at_evacuation_t *known =
	    i < evacuations->count ? &evacuations->entries[i] : NULL;

	if (known != NULL && entry->version <= known->version)
		return 0;
	if (known == NULL) {
		/* It was removed since, or there would be an entry. */
		if (entry->version <= evacuations->since)
			return 0;
		known = make_room(evacuations);
		if (known == NULL) {
			evacuations->is_partial = 1;
			return 0;
		}
		memset(known, 0, sizeof(*known));
		known->data_centre = entry->data_centre;
	}
	set_entry(
	    evacuations, known, entry->is_evacuated, entry->version, now_ms);
	return 1;
}

void
at_evacuations_merge(at_evacuations_t *evacuations,
    const at_evacuation_t *entries, size_t count, uint64_t since,
    uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < count; i++)
		(void)at_evacuations_apply(evacuations, &entries[i], now_ms);
	if (since <= evacuations->since)
		return;
	for (i = 0; i < evacuations->count; i++) {
		at_evacuation_t *known = &evacuations->entries[i];

		if (known->is_evacuated && known->version <= since &&
		    find(entries, count, &known->data_centre) == count)
			set_entry(evacuations, known, 0, since, now_ms);
	}
	evacuations->since = since;
}

void
at_evacuations_advance(
    at_evacuations_t *evacuations, uint64_t from, uint64_t to)
{
	if (evacuations->since >= from && to > evacuations->since)
		evacuations->since = to;
}

void
at_evacuations_expire(at_evacuations_t *evacuations, uint64_t now_ms)
{
	size_t i = 0;

	while (i < evacuations->count) {
		const at_evacuation_t *entry = &evacuations->entries[i];

		if (entry->is_evacuated ||
		    entry->version > evacuations->since ||
		    now_ms < entry->changed_ms + AT_EVACUATION_REMOVED_KEPT_MS)
			i++;
		else
			evacuations->entries[i] =
			    evacuations->entries[--evacuations->count];
	}
}

size_t
at_evacuations_count(const at_evacuations_t *evacuations)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < evacuations->count; i++)
		count += evacuations->entries[i].is_evacuated != 0;
	return count;
}

/* The reader */

static uint32_t
least_allowance_ms(const at_evacuation_reader_t *reader)
{
	return reader->bound_ms * ALLOWANCE_PERCENT / 100u;
}

void
at_evacuation_reader_init(at_evacuation_reader_t *reader,
    at_evacuations_t *evacuations, uint32_t bound_ms)
{
	memset(reader, 0, sizeof(*reader));
	reader->evacuations = evacuations;
	reader->bound_ms = bound_ms < BOUND_MIN_MS ? BOUND_MIN_MS : bound_ms;
	reader->allowance_ms = least_allowance_ms(reader);
}

void
at_evacuation_reader_set_active(at_evacuation_reader_t *reader, int is_active)
{
	if (reader->is_active == is_active)
		return;
	reader->is_active = is_active;
	reader->has_call = 0;
	reader->is_listing = 0;
	reader->must_list = 0;
	reader->unproved_version = 0;
	reader->failures = 0;
	reader->next_ms = 0;
	reader->allowance_ms = least_allowance_ms(reader);
}

void
at_evacuation_reader_note_list(
    at_evacuation_reader_t *reader, uint64_t listed_ms)
{
	if (listed_ms > reader->listed_ms)
		reader->listed_ms = listed_ms;
}

static void
begin_list(at_evacuation_reader_t *reader, uint64_t now_ms,
    at_evacuation_action_t *action)
{
	if (!reader->is_listing) {
		if (reader->listed_ms != 0 &&
		    now_ms < reader->listed_ms + reader->bound_ms / LIST_PARTS)
			return;
		reader->is_listing = 1;
		reader->listed_ms = now_ms;
		reader->list_version = 0;
		reader->listed_count = 0;
		reader->is_list_partial = 0;
		reader->after.text[0] = '\0';
	}
	action->step = AT_EVACUATION_LIST;
	action->after =
	    reader->after.text[0] == '\0' ? NULL : reader->after.text;
	reader->is_watching = 0;
	reader->wait_ms = 0;
	reader->has_call = 1;
	reader->sent_ms = now_ms;
}

static void
begin_watch(at_evacuation_reader_t *reader, uint64_t now_ms,
    at_evacuation_action_t *action)
{
	reader->wait_ms =
	    reader->failures > 0 ? NO_WAIT_MS : reader->bound_ms / WATCH_PARTS;
	reader->watched_since = reader->evacuations->since;
	reader->is_watching = 1;
	reader->has_call = 1;
	reader->sent_ms = now_ms;
	action->step = AT_EVACUATION_WATCH;
	action->since = reader->watched_since;
	action->wait_ms = reader->wait_ms;
}

static void
note_failure(at_evacuation_reader_t *reader, uint64_t now_ms, int is_refused)
{
	uint32_t doublings = reader->failures < RETRY_DOUBLINGS_MAX
				 ? reader->failures
				 : RETRY_DOUBLINGS_MAX;

	reader->has_call = 0;
	reader->failures++;
	reader->next_ms = now_ms;
	if (is_refused)
		reader->next_ms += RETRY_DELAY_MS << doublings;
	else if (reader->failures >= SLOW_FAILURES &&
		 reader->allowance_ms < reader->bound_ms)
		reader->allowance_ms *= 2;
	/* The pages of one list show one state only if none is missing. */
	reader->is_listing = 0;
}

void
at_evacuation_reader_process(at_evacuation_reader_t *reader, uint64_t now_ms,
    at_evacuation_action_t *action)
{
	memset(action, 0, sizeof(*action));
	if (!reader->is_active)
		return;
	if (reader->has_call) {
		if (now_ms <
		    reader->sent_ms + reader->wait_ms + reader->allowance_ms)
			return;
		note_failure(reader, now_ms, 0);
		action->step = AT_EVACUATION_CANCEL;
		return;
	}
	if (now_ms < reader->next_ms)
		return;
	/* Another instance may have stated a version to go on from. */
	if (reader->evacuations->since > reader->watched_since)
		reader->must_list = 0;
	if (reader->is_listing || reader->must_list ||
	    reader->evacuations->since == 0)
		begin_list(reader, now_ms, action);
	else
		begin_watch(reader, now_ms, action);
}

/* What the list has so far is in force; what it lacks is known at its end. */
static void
take_listed(
    at_evacuation_reader_t *reader, const at_object_t *object, uint64_t now_ms)
{
	at_evacuation_t entry = {.is_evacuated = 1, .version = object->version};

	if (at_name_set(&entry.data_centre, object->name) != 0)
		return;
	(void)at_evacuations_apply(reader->evacuations, &entry, now_ms);
	if (reader->listed_count == AT_EVACUATIONS_MAX)
		reader->is_list_partial = 1;
	else
		reader->listed[reader->listed_count++] = entry;
}

static void
take_page(at_evacuation_reader_t *reader, uint64_t now_ms,
    const at_objects_page_t *page)
{
	size_t i;

	if (reader->list_version == 0)
		reader->list_version = page->store_version;
	for (i = 0; i < page->count; i++)
		take_listed(reader, &page->objects[i], now_ms);
	if (page->has_more && page->count > 0 &&
	    at_name_set(&reader->after, page->objects[page->count - 1].name) ==
		0)
		return;
	reader->is_listing = 0;
	reader->must_list = 0;
	reader->unproved_version = 0;
	if (!reader->is_list_partial && !page->has_more)
		at_evacuations_merge(reader->evacuations, reader->listed,
		    reader->listed_count, reader->list_version, now_ms);
}

static void
take_changes(at_evacuation_reader_t *reader, uint64_t now_ms,
    const at_objects_page_t *page)
{
	size_t i;

	/* It was not refused, so the one before it had missed nothing. */
	if (reader->unproved_version != 0)
		at_evacuations_advance(reader->evacuations,
		    reader->watched_since, reader->unproved_version);
	reader->unproved_version = 0;
	for (i = 0; i < page->count; i++) {
		at_evacuation_t entry = {
		    .is_evacuated = !page->objects[i].is_deleted,
		    .version = page->objects[i].version};

		if (at_name_set(&entry.data_centre, page->objects[i].name) == 0)
			(void)at_evacuations_apply(
			    reader->evacuations, &entry, now_ms);
	}
	/* One that has lost its history states the newest version, too. */
	if (page->count > 0)
		at_evacuations_advance(reader->evacuations,
		    reader->watched_since, page->store_version);
	else
		reader->unproved_version = page->store_version;
}

/* A store that takes long for each response gets that time. */
static void
note_delay(at_evacuation_reader_t *reader, uint64_t now_ms,
    const at_objects_page_t *page)
{
	uint64_t took_ms = now_ms - reader->sent_ms;
	uint64_t least_ms = least_allowance_ms(reader);
	uint64_t delay_ms = 0;

	if (took_ms > reader->wait_ms)
		delay_ms = took_ms - reader->wait_ms;
	if (page->count == 0 || delay_ms > 0)
		reader->allowance_ms =
		    (uint32_t)(2u * delay_ms > least_ms ? 2u * delay_ms
							: least_ms);
}

void
at_evacuation_reader_handle_response(at_evacuation_reader_t *reader,
    uint64_t now_ms, const at_objects_page_t *page)
{
	if (!reader->has_call)
		return;
	if (page->code == AT_OBJECTS_HISTORY_GONE) {
		reader->has_call = 0;
		reader->failures = 0;
		reader->is_listing = 0;
		reader->must_list = 1;
		reader->unproved_version = 0;
		reader->next_ms = now_ms;
		return;
	}
	if (page->code != AT_OBJECTS_OK) {
		note_failure(reader, now_ms, 1);
		return;
	}
	note_delay(reader, now_ms, page);
	reader->has_call = 0;
	reader->failures = 0;
	reader->next_ms = now_ms;
	if (!reader->is_watching) {
		take_page(reader, now_ms, page);
		return;
	}
	/* A store that does not wait is not asked in a loop. */
	if (page->count == 0 && reader->wait_ms != NO_WAIT_MS)
		reader->next_ms = reader->sent_ms + reader->wait_ms / 2u;
	take_changes(reader, now_ms, page);
}
