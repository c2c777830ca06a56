/*
 * residents.c - models and adapters resident on an engine: those of the
 * instance list, changed by notes of events that the list does not show yet.
 */
#include <string.h>

#include "core/fleet/fleet_private.h"

/* Lifetime of a note that a server lacks the model or adapter of a request. */
#define MISPLACED_NOTE_US 1000000u

int
at_server_has_resident(
    const at_server_t *server, at_tag_t model, at_tag_t adapter)
{
	return at_resident_set_has(&server->entry.residents, model, adapter);
}

/* Applies the notes, oldest first, to the residents of the instance list. */
static void
recompute_residents(at_server_t *server)
{
	at_resident_set_t *residents = &server->entry.residents;
	size_t i;

	*residents = server->listed_residents;
	for (i = 0; i < server->note_count; i++) {
		const note_t *note = &server->notes[i];

		if (note->adapter.text[0] == '\0')
			at_resident_set_update_model(
			    residents, &note->model, note->resident);
		else
			at_resident_set_update_adapter(residents, &note->model,
			    &note->adapter, note->resident);
	}
}

static void
remove_note(at_server_t *server, size_t i)
{
	server->note_count--;
	memmove(&server->notes[i], &server->notes[i + 1],
	    (server->note_count - i) * sizeof(server->notes[0]));
}

/*
 * A note on a model supersedes those on its adapters: once a model has been
 * loaded or unloaded, none of its adapters is resident.
 */
static int
is_superseded(const note_t *note, const note_t *by)
{
	if (!at_name_equal(&note->model, &by->model))
		return 0;
	return by->adapter.text[0] == '\0' ||
	       strcmp(note->adapter.text, by->adapter.text) == 0;
}

static void
add_note(at_server_t *server, const note_t *note)
{
	size_t i = 0;

	while (i < server->note_count) {
		if (is_superseded(&server->notes[i], note))
			remove_note(server, i);
		else
			i++;
	}
	if (server->note_count == NOTES_MAX)
		remove_note(server, 0);
	server->notes[server->note_count++] = *note;
	recompute_residents(server);
}

/*
 * Extends the lifetime of an existing note with the same content. Returns
 * non-zero if there is one.
 */
static int
extend_existing_note(at_server_t *server, const note_t *note)
{
	size_t i;

	for (i = 0; i < server->note_count; i++) {
		note_t *existing = &server->notes[i];

		if (!at_name_equal(&existing->model, &note->model) ||
		    strcmp(existing->adapter.text, note->adapter.text) != 0)
			continue;
		if (existing->resident != note->resident)
			return 0;
		if (existing->expires_us < note->expires_us)
			existing->expires_us = note->expires_us;
		return 1;
	}
	return 0;
}

void
at_server_note_model(
    at_server_t *server, const at_name_t *model, int resident, uint64_t now_us)
{
	const note_t note = {.model = *model,
	    .resident = resident,
	    .expires_us = now_us + AT_NOTE_LIFETIME_US};

	if (!extend_existing_note(server, &note))
		add_note(server, &note);
}

void
at_server_note_adapter(at_server_t *server, const at_name_t *model,
    const at_name_t *adapter, int resident)
{
	const note_t note = {.model = *model,
	    .adapter = *adapter,
	    .resident = resident,
	    .expires_us = UINT64_MAX};

	if (!extend_existing_note(server, &note))
		add_note(server, &note);
}

void
at_server_note_misplaced(
    at_server_t *server, const at_work_t *work, uint64_t now_us)
{
	note_t note = {.resident = 0, .expires_us = now_us + MISPLACED_NOTE_US};

	if (work->model == 0) {
		server_health_note_outcome(
		    &server->health, AT_OUTCOME_FAILED, now_us);
		return;
	}
	note.model = *work->model_name;
	if (work->adapter != 0)
		note.adapter = *work->adapter_name;
	add_note(server, &note);
}

void
residents_update_list(at_server_t *server, const at_server_entry_t *entry)
{
	server->listed_residents = entry->residents;
	recompute_residents(server);
}

void
residents_clear_notes(at_server_t *server)
{
	server->note_count = 0;
}

void
at_server_apply_residents(
    at_server_t *server, const at_server_entry_t *reported)
{
	size_t i = 0;

	while (i < server->note_count) {
		if (server->notes[i].adapter.text[0] == '\0')
			remove_note(server, i);
		else
			i++;
	}
	server->listed_residents = reported->residents;
	memcpy(server->entry.in_memory, reported->in_memory,
	    sizeof(reported->in_memory));
	server->entry.in_memory_count = reported->in_memory_count;
	memcpy(server->entry.on_disk, reported->on_disk,
	    sizeof(reported->on_disk));
	server->entry.on_disk_count = reported->on_disk_count;
	recompute_residents(server);
}

void
at_fleet_expire_notes(at_fleet_t *fleet, uint64_t now_us)
{
	at_server_t *server;
	size_t i;

	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		size_t before = server->note_count;

		i = 0;
		while (i < server->note_count) {
			if (now_us >= server->notes[i].expires_us)
				remove_note(server, i);
			else
				i++;
		}
		if (server->note_count != before)
			recompute_residents(server);
	}
}
