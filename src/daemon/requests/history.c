#include "daemon/requests/history.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct at_history {
	at_history_entry_t entries[AT_HISTORY_COUNT];
	size_t next;
};

at_history_t *
at_history_new(void)
{
	return calloc(1, sizeof(at_history_t));
}

void
at_history_delete(at_history_t *history)
{
	free(history);
}

void
at_history_add(at_history_t *history, const char *id, const char *path,
    at_reason_t reason, at_verdict_t verdict, uint64_t refused_at_ms)
{
	at_history_entry_t *entry = &history->entries[history->next];

	(void)snprintf(entry->id, sizeof(entry->id), "%s", id);
	(void)snprintf(entry->path, sizeof(entry->path), "%s", path);
	entry->reason = reason;
	entry->verdict = verdict;
	entry->refused_at_ms = refused_at_ms;
	history->next = (history->next + 1) % AT_HISTORY_COUNT;
}

const at_history_entry_t *
at_history_find(const at_history_t *history, const char *id)
{
	size_t i;

	if (id[0] == '\0')
		return NULL;
	for (i = 0; i < AT_HISTORY_COUNT; i++) {
		if (strcmp(history->entries[i].id, id) == 0)
			return &history->entries[i];
	}
	return NULL;
}
