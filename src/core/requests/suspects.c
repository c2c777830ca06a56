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
free_executions(at_execution_t **list)
{
	at_execution_t *execution;
	at_execution_t *next;

	DL_FOREACH_SAFE(*list, execution, next)
	{
		DL_DELETE(*list, execution);
		free(execution);
	}
}

void
at_suspects_delete(at_suspects_t *suspects)
{
	entry_t *entry;
	entry_t *next_entry;
	server_t *server;
	server_t *next_server;

	if (suspects == NULL)
		return;
	HASH_ITER(hh, suspects->entries, entry, next_entry)
	{
		HASH_DEL(suspects->entries, entry);
		free(entry);
	}
	HASH_ITER(hh, suspects->servers, server, next_server)
	{
		HASH_DEL(suspects->servers, server);
		free_executions(&server->running);
		free_executions(&server->ended);
		free(server);
	}
	free(suspects);
}

void
at_suspects_set_events(
    at_suspects_t *suspects, const at_suspects_events_t *events)
{
	suspects->events = *events;
}

static server_t *
find_server(const at_suspects_t *suspects, const char *name)
{
	server_t *server;

	HASH_FIND_STR(suspects->servers, name, server);
	return server;
}

static server_t *
find_or_add_server(at_suspects_t *suspects, const at_name_t *name)
{
	server_t *server = find_server(suspects, name->text);

	if (server != NULL)
		return server;
	server = calloc(1, sizeof(*server));
	if (server == NULL)
		return NULL;
	server->name = *name;
	HASH_ADD_KEYPTR(hh, suspects->servers, server->name.text,
	    strlen(server->name.text), server);
	return server;
}

/* Removes a backend server that has neither executions nor a crash. */
static void
remove_if_idle(at_suspects_t *suspects, server_t *server)
{
	if (server->running != NULL || server->ended != NULL ||
	    server->crashed_at_ms != 0)
		return;
	HASH_DEL(suspects->servers, server);
	free(server);
}

/* Returns whether a request with this state is restricted. */
static int
is_suspect(at_suspicion_t suspicion)
{
	return suspicion != AT_SUSPICION_CLEAR &&
	       suspicion != AT_SUSPICION_LIFTED;
}

at_execution_t *
at_suspects_begin_execution(at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, const at_name_t *backend,
    uint64_t now_ms)
{
	at_suspicion_t suspicion =
	    at_suspects_check(suspects, fingerprint, now_ms);
	server_t *server = find_or_add_server(suspects, backend);
	at_execution_t *execution = calloc(1, sizeof(*execution));

	if (server == NULL || execution == NULL) {
		free(execution);
		return NULL;
	}
	execution->fingerprint = *fingerprint;
	execution->server = server;
	execution->is_suspect = is_suspect(suspicion);
	execution->is_isolated = suspicion == AT_SUSPICION_ISOLATED;
	DL_PREPEND(server->running, execution);
	return execution;
}

/*
 * Returns whether an execution is a victim of the crash: it ended at the crash,
 * or so shortly before it that the backend server may still have run it.
 */
static int
is_victim(const server_t *server, const at_execution_t *execution)
{
	return execution->ended_at_ms + AT_SUSPECTS_ENDED_WINDOW_MS >=
	       server->crashed_at_ms;
}

/* Confirms that the lost executions were ended by the crash. */
static void
confirm_lost(at_suspects_t *suspects, server_t *server)
{
	at_execution_t *execution;

	DL_FOREACH(server->ended, execution)
	{
		entry_t *entry =
		    suspects_find(suspects, &execution->fingerprint);

		if (entry == NULL || !execution->is_lost ||
		    execution->is_confirmed || !is_victim(server, execution))
			continue;
		execution->is_confirmed = 1;
		entry->confirmed++;
	}
}

/* Keeps an ended execution until it is known whether its server crashed. */
static void
keep_ended(at_suspects_t *suspects, at_execution_t *execution, int is_lost,
    uint64_t now_ms)
{
	entry_t *entry = NULL;

	if (is_lost && !suspects_is_none(&execution->fingerprint))
		entry = suspects_find_or_add(suspects, &execution->fingerprint);

	if (entry != NULL) {
		entry->pending++;
		execution->is_lost = 1;
	}
	execution->ended_at_ms = now_ms;
	DL_PREPEND(execution->server->ended, execution);
	if (execution->server->crashed_at_ms != 0)
		confirm_lost(suspects, execution->server);
}

void
at_suspects_end_execution(at_suspects_t *suspects, at_execution_t *execution,
    at_execution_end_t end, uint64_t now_ms)
{
	server_t *server;

	if (execution == NULL)
		return;
	server = execution->server;
	DL_DELETE(server->running, execution);
	if (end == AT_EXECUTION_CONNECTION_LOST ||
	    end == AT_EXECUTION_CANCELLED) {
		keep_ended(suspects, execution,
		    end == AT_EXECUTION_CONNECTION_LOST, now_ms);
	} else {
		if (end == AT_EXECUTION_COMPLETED)
			suspects_clear(suspects, &execution->fingerprint);
		free(execution);
	}
	remove_if_idle(suspects, server);
}

/* Discards an ended execution; clears its fingerprint if it was the last. */
static void
discard(at_suspects_t *suspects, server_t *server, at_execution_t *execution)
{
	entry_t *entry = execution->is_lost
			     ? suspects_find(suspects, &execution->fingerprint)
			     : NULL;

	if (entry != NULL && entry->pending > 0)
		entry->pending--;
	if (entry != NULL && execution->is_confirmed && entry->confirmed > 0)
		entry->confirmed--;
	if (entry != NULL && entry->pending == 0 &&
	    entry->suspect.suspicion == AT_SUSPICION_CLEAR)
		suspects_remove(suspects, entry);
	DL_DELETE(server->ended, execution);
	free(execution);
}

/* Discards the lost or else the cancelled executions ended before time_ms. */
static void
discard_before(
    at_suspects_t *suspects, server_t *server, int is_lost, uint64_t time_ms)
{
	at_execution_t *execution;
	at_execution_t *next;

	DL_FOREACH_SAFE(server->ended, execution, next)
	{
		if (execution->is_lost == is_lost &&
		    execution->ended_at_ms < time_ms)
			discard(suspects, server, execution);
	}
}

void
at_suspects_note_alive(
    at_suspects_t *suspects, const at_name_t *backend, uint64_t since_ms)
{
	server_t *server = find_server(suspects, backend->text);

	if (server == NULL || server->crashed_at_ms != 0)
		return;
	discard_before(suspects, server, 1, since_ms);
	remove_if_idle(suspects, server);
}

static int
is_same(const at_fingerprint_t *a, const at_fingerprint_t *b)
{
	return a->high == b->high && a->low == b->low;
}

static void
add_victim(server_t *server, const at_fingerprint_t *fingerprint)
{
	size_t i;

	for (i = 0; i < server->victim_count; i++) {
		if (is_same(&server->victims[i], fingerprint))
			return;
	}
	if (server->victim_count < VICTIMS_MAX)
		server->victims[server->victim_count++] = *fingerprint;
}

/* Reports the own victims of a crash to the other instances. */
static void
report_victims(at_suspects_t *suspects, server_t *server)
{
	at_fingerprint_t own_victims[VICTIMS_MAX];
	const at_execution_t *execution;
	size_t count = 0;

	server->is_reported = 1;
	DL_FOREACH(server->ended, execution)
	{
		if (count < VICTIMS_MAX && is_victim(server, execution))
			own_victims[count++] = execution->fingerprint;
	}
	if (count > 0 && suspects->events.on_crash != NULL)
		suspects->events.on_crash(
		    suspects->events.ctx, &server->name, own_victims, count);
}

/* Adds the ended executions to the victims; discards the lost ones. */
static void
collect_victims(at_suspects_t *suspects, server_t *server)
{
	at_execution_t *execution;
	at_execution_t *next;

	DL_FOREACH_SAFE(server->ended, execution, next)
	{
		if (is_victim(server, execution))
			add_victim(server, &execution->fingerprint);
		/* A cancelled request may still run and crash it again. */
		if (execution->is_lost)
			discard(suspects, server, execution);
	}
}

void
at_suspects_note_crash(
    at_suspects_t *suspects, const at_name_t *backend, uint64_t now_ms)
{
	server_t *server = find_server(suspects, backend->text);

	if (server == NULL)
		return;
	/* Crashes that follow before a decision are decided as one. */
	if (server->crashed_at_ms != 0) {
		/* The report includes what this crash has already ended. */
		report_victims(suspects, server);
		collect_victims(suspects, server);
		server->is_reported = 0;
	}
	server->crashed_at_ms = now_ms;
	confirm_lost(suspects, server);
}

void
at_suspects_apply_peer_crash(at_suspects_t *suspects, const at_name_t *backend,
    const at_fingerprint_t *victims, size_t count, uint64_t now_ms)
{
	server_t *server = find_or_add_server(suspects, backend);
	size_t i;

	if (server == NULL)
		return;
	if (server->crashed_at_ms == 0)
		server->crashed_at_ms = now_ms - AT_SUSPECTS_REPORT_DELAY_MS;
	confirm_lost(suspects, server);
	for (i = 0; i < count; i++)
		add_victim(server, &victims[i]);
}

/* Decides on a crash when the reports of all instances are known. */
static void
decide(at_suspects_t *suspects, server_t *server, uint64_t now_ms)
{
	size_t i;

	collect_victims(suspects, server);
	for (i = 0; i < server->victim_count; i++)
		suspects_add_crash(
		    suspects, &server->victims[i], server, now_ms);
	server->victim_count = 0;
	server->crashed_at_ms = 0;
	server->is_reported = 0;
}

static void
tick_server(at_suspects_t *suspects, server_t *server, uint64_t now_ms)
{
	uint64_t crashed_at_ms = server->crashed_at_ms;

	if (crashed_at_ms == 0) {
		if (now_ms > AT_SUSPECTS_UNCONFIRMED_MAX_MS)
			discard_before(suspects, server, 1,
			    now_ms - AT_SUSPECTS_UNCONFIRMED_MAX_MS);
		if (now_ms > AT_SUSPECTS_ENDED_WINDOW_MS)
			discard_before(suspects, server, 0,
			    now_ms - AT_SUSPECTS_ENDED_WINDOW_MS);
		return;
	}
	if (!server->is_reported &&
	    now_ms >= crashed_at_ms + AT_SUSPECTS_REPORT_DELAY_MS)
		report_victims(suspects, server);
	if (now_ms >= crashed_at_ms + AT_SUSPECTS_DECISION_DELAY_MS)
		decide(suspects, server, now_ms);
}

void
at_suspects_tick(at_suspects_t *suspects, uint64_t now_ms)
{
	entry_t *entry;
	entry_t *next_entry;
	server_t *server;
	server_t *next_server;

	HASH_ITER(hh, suspects->servers, server, next_server)
	{
		tick_server(suspects, server, now_ms);
		remove_if_idle(suspects, server);
	}
	HASH_ITER(hh, suspects->entries, entry, next_entry)
	{
		if (entry->pending == 0 &&
		    now_ms >= entry->suspect.expires_at_ms)
			suspects_remove(suspects, entry);
	}
}

int
at_suspects_may_run(const at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, const char *backend, uint64_t now_ms)
{
	at_suspicion_t suspicion =
	    at_suspects_check(suspects, fingerprint, now_ms);
	const server_t *server = find_server(suspects, backend);
	const at_execution_t *execution;

	if (suspicion == AT_SUSPICION_UNCONFIRMED ||
	    suspicion == AT_SUSPICION_PENDING ||
	    suspicion == AT_SUSPICION_BLOCKED)
		return 0;
	if (server == NULL || server->running == NULL)
		return 1;
	if (suspicion == AT_SUSPICION_ISOLATED)
		return 0;
	DL_FOREACH(server->running, execution)
	{
		if (execution->is_isolated)
			return 0;
		if (execution->is_suspect && suspicion == AT_SUSPICION_SUSPECT)
			return 0;
	}
	return 1;
}
