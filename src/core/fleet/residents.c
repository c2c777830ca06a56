/*
 * residents.c - what an engine holds: the platform's list, changed by notes of
 * orders that the list does not show yet.
 */
#include <string.h>

#include "core/fleet/fleet_private.h"

#define MISPLACED_US 1000000u /* a server's own word that it holds it not */

int
at_server_has_resident(
    const at_server_t *server, at_tag_t model, at_tag_t adapter)
{
	return at_resident_set_has(&server->entry.residents, model, adapter);
}

/* The list as it is, then every note in the order it was made. */
static void
recompute(at_server_t *server)
{
	at_resident_set_t *held = &server->entry.residents;
	size_t i;

	*held = server->listed_held;
	for (i = 0; i < server->note_count; i++) {
		const note_t *note = &server->notes[i];

		if (note->adapter.text[0] == '\0')
			at_resident_set_update_model(
			    held, &note->model, note->held);
		else
			at_resident_set_update_adapter(
			    held, &note->model, &note->adapter, note->held);
	}
}

static void
drop_note(at_server_t *server, size_t i)
{
	server->note_count--;
	memmove(&server->notes[i], &server->notes[i + 1],
	    (server->note_count - i) * sizeof(server->notes[0]));
}

/* A model that goes or comes anew has none of its adapters. */
static int
is_overtaken(const note_t *note, const note_t *by)
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
		if (is_overtaken(&server->notes[i], note))
			drop_note(server, i);
		else
			i++;
	}
	if (server->note_count == NOTES_MAX)
		drop_note(server, 0);
	server->notes[server->note_count++] = *note;
	recompute(server);
}

/* A note that says the same makes the known one stand longer; 1 if it does. */
static int
renew_known(at_server_t *server, const note_t *note)
{
	size_t i;

	for (i = 0; i < server->note_count; i++) {
		note_t *known = &server->notes[i];

		if (!at_name_equal(&known->model, &note->model) ||
		    strcmp(known->adapter.text, note->adapter.text) != 0)
			continue;
		if (known->held != note->held)
			return 0;
		if (known->stands_until_us < note->stands_until_us)
			known->stands_until_us = note->stands_until_us;
		return 1;
	}
	return 0;
}

void
at_server_note_model(
    at_server_t *server, const at_name_t *model, int is_held, uint64_t now_us)
{
	const note_t note = {.model = *model,
	    .held = is_held,
	    .stands_until_us = now_us + AT_NOTE_LIFETIME_US};

	if (!renew_known(server, &note))
		add_note(server, &note);
}

void
at_server_note_adapter(at_server_t *server, const at_name_t *model,
    const at_name_t *adapter, int is_held)
{
	const note_t note = {.model = *model,
	    .adapter = *adapter,
	    .held = is_held,
	    .stands_until_us = UINT64_MAX};

	if (!renew_known(server, &note))
		add_note(server, &note);
}

void
at_server_note_misplaced(
    at_server_t *server, const at_work_t *work, uint64_t now_us)
{
	note_t note = {.held = 0, .stands_until_us = now_us + MISPLACED_US};

	if (work->model == 0) {
		server_health_note_outcome(
		    &server->trust, AT_OUTCOME_FAILED, now_us);
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
	server->listed_held = entry->residents;
	recompute(server);
}

void
residents_clear_notes(at_server_t *server)
{
	server->note_count = 0;
}

void
at_server_apply_residents(at_server_t *server, const at_server_entry_t *held)
{
	size_t i = 0;

	while (i < server->note_count) {
		if (server->notes[i].adapter.text[0] == '\0')
			drop_note(server, i);
		else
			i++;
	}
	server->listed_held = held->residents;
	memcpy(
	    server->entry.in_memory, held->in_memory, sizeof(held->in_memory));
	server->entry.in_memory_count = held->in_memory_count;
	memcpy(server->entry.on_disk, held->on_disk, sizeof(held->on_disk));
	server->entry.on_disk_count = held->on_disk_count;
	recompute(server);
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
			if (now_us >= server->notes[i].stands_until_us)
				drop_note(server, i);
			else
				i++;
		}
		if (server->note_count != before)
			recompute(server);
	}
}
