/*
 * held.c - what an engine holds: the platform's list, changed by notes of
 * orders that the list does not show yet.
 */
#include <stdio.h>
#include <string.h>

#include "core/fleet/fleet_private.h"

static at_held_model_t *
held_model(at_server_entry_t *entry, at_tag_t model)
{
	size_t i;

	for (i = 0; i < entry->held_count; i++) {
		if (entry->held[i].tag == model)
			return &entry->held[i];
	}
	return NULL;
}

static size_t
find_adapter(const at_held_model_t *held, at_tag_t adapter)
{
	size_t i;

	for (i = 0; i < held->adapter_count; i++) {
		if (held->adapters[i].tag == adapter)
			break;
	}
	return i;
}

int
at_server_holds(const at_server_t *server, at_tag_t model, at_tag_t adapter)
{
	const at_held_model_t *held;
	size_t i;

	for (i = 0; i < server->entry.held_count; i++) {
		held = &server->entry.held[i];
		if (held->tag == model)
			return adapter == 0 || find_adapter(held, adapter) <
						   held->adapter_count;
	}
	return 0;
}

static void
apply_model(at_server_entry_t *entry, const note_t *note)
{
	at_held_model_t *held = held_model(entry, note->model);

	if (!note->held && held != NULL) {
		*held = entry->held[--entry->held_count];
	} else if (note->held && held == NULL &&
		   entry->held_count < AT_HELD_MODELS_MAX) {
		held = &entry->held[entry->held_count++];
		memset(held, 0, sizeof(*held));
		held->name = note->model_name;
		held->tag = note->model;
	}
}

static void
apply_adapter(at_server_entry_t *entry, const note_t *note)
{
	at_held_model_t *held = held_model(entry, note->model);
	char text[2 * AT_NAME_SIZE];
	at_tag_t tag;
	size_t i;

	if (held == NULL)
		return;
	(void)snprintf(
	    text, sizeof(text), "%s/%s", held->name.text, note->adapter.text);
	tag = at_tag(text);
	i = find_adapter(held, tag);
	if (note->held && i == held->adapter_count &&
	    i < AT_HELD_ADAPTERS_MAX) {
		held->adapters[i].tag = tag;
		held->adapters[i].name = note->adapter;
		held->adapter_count++;
	} else if (!note->held && i < held->adapter_count) {
		held->adapters[i] = held->adapters[--held->adapter_count];
	}
}

/* The list as it is, then every note in the order it was made. */
static void
recompute(at_server_t *server)
{
	at_server_entry_t *entry = &server->entry;
	size_t i;

	memcpy(entry->held, server->listed_held, sizeof(entry->held));
	entry->held_count = server->listed_held_count;
	for (i = 0; i < server->note_count; i++) {
		if (server->notes[i].adapter.text[0] == '\0')
			apply_model(entry, &server->notes[i]);
		else
			apply_adapter(entry, &server->notes[i]);
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
	if (note->model != by->model)
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

/* Whether a note says what is so already; telling it again is no news. */
static int
is_known(const at_server_t *server, const note_t *note)
{
	size_t i;

	for (i = 0; i < server->note_count; i++) {
		const note_t *known = &server->notes[i];

		if (known->model == note->model &&
		    strcmp(known->adapter.text, note->adapter.text) == 0)
			return known->held == note->held;
	}
	return 0;
}

void
at_server_note_model(
    at_server_t *server, const at_name_t *model, int is_held, uint64_t now_us)
{
	const note_t note = {.model = at_tag(model->text),
	    .model_name = *model,
	    .held = is_held,
	    .noted_us = now_us};

	if (!is_known(server, &note))
		add_note(server, &note);
}

void
at_server_note_adapter(at_server_t *server, const at_name_t *model,
    const at_name_t *adapter, int is_held, uint64_t now_us)
{
	const note_t note = {.model = at_tag(model->text),
	    .model_name = *model,
	    .adapter = *adapter,
	    .held = is_held,
	    .noted_us = now_us};

	if (!is_known(server, &note))
		add_note(server, &note);
}

static void
set_listed(at_server_t *server, const at_server_entry_t *entry)
{
	memcpy(server->listed_held, entry->held, sizeof(server->listed_held));
	server->listed_held_count = entry->held_count;
}

void
held_listed(at_server_t *server, const at_server_entry_t *entry)
{
	set_listed(server, entry);
	recompute(server);
}

void
held_forget_notes(at_server_t *server)
{
	server->note_count = 0;
}

void
at_server_note_held(
    at_server_t *server, const at_server_entry_t *held, uint64_t now_us)
{
	size_t i = 0;

	(void)now_us;
	while (i < server->note_count) {
		if (server->notes[i].adapter.text[0] == '\0')
			drop_note(server, i);
		else
			i++;
	}
	set_listed(server, held);
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
			const note_t *note = &server->notes[i];

			if (note->adapter.text[0] == '\0' &&
			    now_us - note->noted_us > AT_NOTE_STANDS_US)
				drop_note(server, i);
			else
				i++;
		}
		if (server->note_count != before)
			recompute(server);
	}
}
