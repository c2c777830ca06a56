#include "core/fleet/fleet_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

const char *const at_choice_result_names[] = {
    "server", "full", "absent", "nobody"};

at_fleet_t *
at_fleet_new(at_tag_t data_centre, uint64_t seed)
{
	at_fleet_t *fleet = calloc(1, sizeof(*fleet));

	if (fleet == NULL)
		return NULL;
	fleet->data_centre = data_centre;
	fleet->ties = seed;
	return fleet;
}

void
at_fleet_delete(at_fleet_t *fleet)
{
	at_server_t *server;
	at_server_t *next_server;
	peer_report_t *report;
	peer_report_t *next_report;

	if (fleet == NULL)
		return;
	HASH_ITER(hh, fleet->servers, server, next_server)
	{
		HASH_DEL(fleet->servers, server);
		free(server);
	}
	HASH_ITER(hh, fleet->reports, report, next_report)
	{
		HASH_DEL(fleet->reports, report);
		free(report->rows);
		free(report);
	}
	at_site_unref(fleet->site);
	free(fleet);
}

void
at_fleet_set_site(at_fleet_t *fleet, at_site_t *site)
{
	at_site_unref(fleet->site);
	fleet->site = at_site_ref(site);
}

at_server_t *
at_fleet_find(const at_fleet_t *fleet, at_tag_t tag)
{
	at_server_t *server;

	HASH_FIND(hh, fleet->servers, &tag, sizeof(tag), server);
	return server;
}

static void
drop_if_unused(at_fleet_t *fleet, at_server_t *server)
{
	if (server->listed || server->open > 0)
		return;
	HASH_DEL(fleet->servers, server);
	free(server);
}

/* A later life knows nothing of what was in flight in the one before. */
static void
begin_life(at_server_t *server)
{
	server_health_init(&server->trust);
	residents_clear_notes(server);
	memset(server->prefixes, 0, sizeof(server->prefixes));
}

static at_server_t *
add_server(at_fleet_t *fleet, const at_server_entry_t *entry)
{
	at_server_t *server = calloc(1, sizeof(*server));
	const peer_report_t *report;
	size_t i;

	if (server == NULL)
		return NULL;
	server->entry = *entry;
	begin_life(server);
	HASH_ADD(hh, fleet->servers, entry.tag, sizeof(entry->tag), server);
	for (report = fleet->reports; report != NULL;
	     report = report->hh.next) {
		for (i = 0; i < report->count; i++) {
			if (report->rows[i].server != entry->tag)
				continue;
			server->others.active += report->rows[i].load.active;
			server->others.prefill_tokens +=
			    report->rows[i].load.prefill_tokens;
			server->others.kv_tokens +=
			    report->rows[i].load.kv_tokens;
			server->others.recent_tokens +=
			    report->rows[i].load.recent_tokens;
		}
	}
	return server;
}

static void
take_entry(at_server_t *server, const at_server_entry_t *entry)
{
	server->entry = *entry;
	residents_update_list(server, entry);
}

at_server_t *
at_fleet_update_server(at_fleet_t *fleet, const at_server_entry_t *entry)
{
	at_server_t *server = at_fleet_find(fleet, entry->tag);

	if (server == NULL)
		server = add_server(fleet, entry);
	if (server == NULL)
		return NULL;
	if (entry->started_ms < server->entry.started_ms)
		return NULL;
	if (entry->started_ms > server->entry.started_ms)
		begin_life(server);
	else if (entry->heartbeat_sequence < server->entry.heartbeat_sequence)
		return NULL;
	take_entry(server, entry);
	server->listed = 1;
	return server;
}

void
at_fleet_remove(at_fleet_t *fleet, at_tag_t tag)
{
	at_server_t *server = at_fleet_find(fleet, tag);

	if (server == NULL)
		return;
	server->listed = 0;
	drop_if_unused(fleet, server);
}

void
at_fleet_each(const at_fleet_t *fleet,
    void (*visit)(void *ctx, at_server_t *server), void *ctx)
{
	at_server_t *server;
	at_server_t *next;

	HASH_ITER(hh, fleet->servers, server, next)
	{
		if (server->listed)
			visit(ctx, server);
	}
}

size_t
at_fleet_count(const at_fleet_t *fleet)
{
	const at_server_t *server;
	size_t count = 0;

	for (server = fleet->servers; server != NULL; server = server->hh.next)
		count += (size_t)(server->listed != 0);
	return count;
}

const at_server_entry_t *
at_server_entry(const at_server_t *server)
{
	return &server->entry;
}

/* Prompt tokens sent lately, as they have faded since. */
static uint32_t
fade(double tokens, uint64_t since_us, uint64_t now_us)
{
	double passed_us = now_us > since_us ? (double)(now_us - since_us) : 0.;

	return (uint32_t)(tokens * exp(-passed_us / AT_RECENT_TOKENS_DECAY_US));
}

at_load_t
at_server_load(const at_server_t *server, uint64_t now_us)
{
	at_load_t sum = server->own;

	sum.recent_tokens =
	    fade(server->recent_tokens, server->recent_us, now_us) +
	    server->others.recent_tokens;

	sum.active += server->others.active;
	sum.prefill_tokens += server->others.prefill_tokens;
	sum.kv_tokens += server->others.kv_tokens;
	return sum;
}

int
at_server_is_available(const at_server_t *server, uint64_t now_us)
{
	return now_us >= server->trust.rest_until_us;
}

static uint64_t
kv_of(const at_work_t *work)
{
	return (uint64_t)work->prompt_tokens + work->output_tokens;
}

void
at_server_note_sent(at_server_t *server, const at_work_t *work, uint64_t now_us)
{
	server->recent_tokens =
	    fade(server->recent_tokens, server->recent_us, now_us) +
	    work->prompt_tokens;
	server->recent_us = now_us;
	server->open++;
	server->own.active++;
	server->own.prefill_tokens += work->prompt_tokens;
	server->own.kv_tokens += kv_of(work);
	prefixes_add(server, work);
}

void
at_server_note_first_event(at_server_t *server, const at_work_t *work,
    uint64_t predicted_us, uint64_t seen_us)
{
	server->own.prefill_tokens -= work->prompt_tokens;
	server_health_note_time(&server->trust, predicted_us, seen_us);
}

void
at_fleet_note_ended(at_fleet_t *fleet, at_server_t *server,
    const at_work_t *work, int had_first_event, at_server_outcome_t outcome,
    uint64_t now_us)
{
	server->open--;
	server->own.active--;
	server->own.kv_tokens -= kv_of(work);
	if (!had_first_event)
		server->own.prefill_tokens -= work->prompt_tokens;
	server_health_note_outcome(&server->trust, outcome, now_us);
	drop_if_unused(fleet, server);
}

size_t
at_fleet_fill_report(const at_fleet_t *fleet, at_load_report_t *rows,
    size_t max, uint64_t now_us)
{
	const at_server_t *server;
	size_t count = 0;

	for (server = fleet->servers; server != NULL && count < max;
	     server = server->hh.next) {
		if (server->own.active == 0 && !server->trust.unreachable)
			continue;
		rows[count].server = server->entry.tag;
		rows[count].load = server->own;
		rows[count].load.unreachable =
		    server->trust.unreachable &&
		    now_us < server->trust.rest_until_us;
		rows[count].load.recent_tokens =
		    fade(server->recent_tokens, server->recent_us, now_us);
		count++;
	}
	return count;
}

/* Adds (sign 1) or takes off (sign -1) what a report says. */
static void
count_report(at_fleet_t *fleet, const peer_report_t *report, int sign)
{
	size_t i;

	for (i = 0; i < report->count; i++) {
		const at_load_t *load = &report->rows[i].load;
		at_server_t *server =
		    at_fleet_find(fleet, report->rows[i].server);

		if (server == NULL)
			continue;
		if (sign > 0) {
			server->others.active += load->active;
			server->others.prefill_tokens += load->prefill_tokens;
			server->others.kv_tokens += load->kv_tokens;
			server->others.recent_tokens += load->recent_tokens;
		} else {
			server->others.active -= load->active;
			server->others.prefill_tokens -= load->prefill_tokens;
			server->others.kv_tokens -= load->kv_tokens;
			server->others.recent_tokens -= load->recent_tokens;
		}
	}
}

void
at_fleet_apply_report(at_fleet_t *fleet, at_tag_t instance,
    const at_load_report_t *rows, size_t count, uint64_t now_us)
{
	at_load_report_t *copy = malloc((count + 1) * sizeof(*copy));
	peer_report_t *report;

	if (copy == NULL)
		return;
	HASH_FIND(hh, fleet->reports, &instance, sizeof(instance), report);
	if (report == NULL) {
		report = calloc(1, sizeof(*report));
		if (report == NULL) {
			free(copy);
			return;
		}
		report->instance = instance;
		HASH_ADD(
		    hh, fleet->reports, instance, sizeof(instance), report);
	}
	count_report(fleet, report, -1);
	if (count > 0)
		memcpy(copy, rows, count * sizeof(*copy));
	free(report->rows);
	report->rows = copy;
	report->count = count;
	report->heard_us = now_us;
	count_report(fleet, report, 1);
}

void
at_fleet_apply_unreachable(at_fleet_t *fleet, at_tag_t tag, uint64_t now_us)
{
	at_server_t *server = at_fleet_find(fleet, tag);

	if (server != NULL)
		server_health_apply_unreachable(&server->trust, now_us);
}

void
at_fleet_expire_reports(at_fleet_t *fleet, uint64_t now_us, uint64_t max_age_us)
{
	peer_report_t *report;
	peer_report_t *next;

	HASH_ITER(hh, fleet->reports, report, next)
	{
		if (now_us - report->heard_us <= max_age_us)
			continue;
		count_report(fleet, report, -1);
		HASH_DEL(fleet->reports, report);
		free(report->rows);
		free(report);
	}
}
