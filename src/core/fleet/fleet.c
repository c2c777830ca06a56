#include "core/fleet/fleet_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weight of a request in the mean of its tokens: about the last hundred. */
#define MEAN_TOKENS_WEIGHT 0.01
/* After this time less than one is left of a million recent tokens. */
#define DECAYED_US (14. * AT_RECENT_TOKENS_DECAY_US)
/* A server is slow from the first of these factors until below the second. */
#define SLOW_MILLI 1400u
#define SLOW_END_MILLI 1200u
/* Events of a stream that shows how long one runs. */
#define STREAM_MIN_EVENTS 4u

const char *const at_choice_result_names[] = {
    "server", "full", "absent", "nobody", "limited", "paused"};

at_fleet_t *
at_fleet_new(at_tag_t data_centre, uint64_t seed)
{
	at_fleet_t *fleet = calloc(1, sizeof(*fleet));

	if (fleet == NULL)
		return NULL;
	fleet->times = at_service_times_new();
	if (fleet->times == NULL) {
		free(fleet);
		return NULL;
	}
	fleet->data_centre = data_centre;
	fleet->random_state = seed;
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
		free(report->entries);
		free(report);
	}
	at_site_unref(fleet->site);
	at_service_times_delete(fleet->times);
	free(fleet);
}

at_service_times_t *
at_fleet_service_times(const at_fleet_t *fleet)
{
	return fleet->times;
}

void
at_fleet_set_site(at_fleet_t *fleet, at_site_t *site)
{
	at_server_t *server;

	at_site_unref(fleet->site);
	fleet->site = at_site_ref(site);
	for (server = fleet->servers; server != NULL; server = server->hh.next)
		server_cold_set_service(fleet, server);
}

at_server_t *
at_fleet_find(const at_fleet_t *fleet, at_tag_t tag)
{
	at_server_t *server;

	HASH_FIND(hh, fleet->servers, &tag, sizeof(tag), server);
	return server;
}

/* What it has asked for still holds if the list has it again. */
static int
has_notices(const at_server_t *server)
{
	return server->has_stated_leaving || server->paused_until_us != 0 ||
	       server->limit.rate_milli != 0;
}

static void
delete_if_unused(at_fleet_t *fleet, at_server_t *server)
{
	if (server->is_listed || server->references > 0 || has_notices(server))
		return;
	HASH_DEL(fleet->servers, server);
	at_service_times_remove(fleet->times, server->speed);
	free(server);
}

/* Clears what was recorded of an earlier incarnation of the server. */
static void
reset_incarnation(at_server_t *server)
{
	server_health_init(&server->health);
	at_speed_reset(server->speed);
	residents_clear_notes(server);
	memset(&server->limit, 0, sizeof(server->limit));
	memset(&server->cold, 0, sizeof(server->cold));
	memset(&server->room, 0, sizeof(server->room));
	server->has_stated_leaving = 0;
	server->paused_until_us = 0;
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
	server->speed =
	    at_service_times_add(fleet->times, entry->service, entry->tag);
	reset_incarnation(server);
	HASH_ADD(hh, fleet->servers, entry.tag, sizeof(entry->tag), server);
	for (report = fleet->reports; report != NULL;
	     report = report->hh.next) {
		for (i = 0; i < report->count; i++) {
			if (report->entries[i].server != entry->tag)
				continue;
			server->peer_load.active +=
			    report->entries[i].load.active;
			server->peer_load.prefill_tokens +=
			    report->entries[i].load.prefill_tokens;
			server->peer_load.kv_tokens +=
			    report->entries[i].load.kv_tokens;
			server->peer_load.recent_tokens +=
			    report->entries[i].load.recent_tokens;
		}
	}
	return server;
}

static void
set_entry(const at_fleet_t *fleet, at_server_t *server,
    const at_server_entry_t *entry)
{
	server->entry = *entry;
	server->entry.is_leaving |= server->has_stated_leaving;
	residents_update_list(server, entry);
	data_centres_apply(fleet, server);
}

at_server_t *
at_fleet_update_server(at_fleet_t *fleet, const at_server_entry_t *entry)
{
	at_server_t *server = at_fleet_find(fleet, entry->tag);
	int is_new =
	    server == NULL || entry->started_ms > server->entry.started_ms;
	int is_later = is_new || entry->heartbeat_sequence >
				     server->entry.heartbeat_sequence;

	if (server == NULL)
		server = add_server(fleet, entry);
	if (server == NULL)
		return NULL;
	if (entry->started_ms < server->entry.started_ms)
		return NULL;
	if (entry->started_ms > server->entry.started_ms)
		reset_incarnation(server);
	else if (server->is_listed &&
		 entry->heartbeat_sequence < server->entry.heartbeat_sequence)
		return NULL;
	set_entry(fleet, server, entry);
	server_cold_set_service(fleet, server);
	/* The times of one entry that comes again do not start again. */
	if (is_later)
		server_cold_note_entry(&server->cold, entry, is_new);
	server->is_listed = 1;
	server->removed_us = 0;
	return server;
}

void
at_fleet_remove(at_fleet_t *fleet, at_tag_t tag)
{
	at_server_t *server = at_fleet_find(fleet, tag);

	if (server == NULL)
		return;
	server->is_listed = 0;
	delete_if_unused(fleet, server);
}

/* Frees one server at most; the others follow in the next calls. */
void
at_fleet_expire_removed(at_fleet_t *fleet, uint64_t now_us)
{
	at_server_t *expired = NULL;
	at_server_t *server;

	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		if (server->is_listed)
			continue;
		if (server->removed_us == 0)
			server->removed_us = now_us;
		if (server->references == 0 &&
		    now_us >= server->removed_us + AT_REMOVED_SERVER_KEPT_US)
			expired = server;
	}
	if (expired == NULL)
		return;
	reset_incarnation(expired);
	delete_if_unused(fleet, expired);
}

void
at_fleet_each(const at_fleet_t *fleet,
    void (*visit)(void *ctx, at_server_t *server), void *ctx)
{
	at_server_t *server;
	at_server_t *next;

	HASH_ITER(hh, fleet->servers, server, next)
	{
		if (server->is_listed)
			visit(ctx, server);
	}
}

size_t
at_fleet_count(const at_fleet_t *fleet)
{
	const at_server_t *server;
	size_t count = 0;

	for (server = fleet->servers; server != NULL; server = server->hh.next)
		count += (size_t)(server->is_listed != 0);
	return count;
}

int
at_server_is_listed(const at_server_t *server)
{
	return server->is_listed;
}

const at_server_entry_t *
at_server_entry(const at_server_t *server)
{
	return &server->entry;
}

/* Returns recently sent prompt tokens after exponential decay. */
static uint32_t
decay_tokens(double tokens, uint64_t since_us, uint64_t now_us)
{
	double elapsed_us =
	    now_us > since_us ? (double)(now_us - since_us) : 0.;

	/* Most servers have got nothing lately. */
	if (tokens < 1. || elapsed_us > DECAYED_US)
		return 0;
	return (
	    uint32_t)(tokens * exp(-elapsed_us / AT_RECENT_TOKENS_DECAY_US));
}

at_load_t
at_server_load(const at_server_t *server, uint64_t now_us)
{
	at_load_t total = server->own_load;

	total.recent_tokens =
	    decay_tokens(server->recent_tokens, server->recent_us, now_us) +
	    server->peer_load.recent_tokens;

	total.active += server->peer_load.active;
	total.prefill_tokens += server->peer_load.prefill_tokens;
	total.kv_tokens += server->peer_load.kv_tokens;
	return total;
}

int
at_server_is_available(const at_server_t *server, uint64_t now_us)
{
	return !server->is_evacuated &&
	       now_us >= server->health.backoff_until_us;
}

static uint64_t
kv_tokens_of(const at_work_t *work)
{
	return (uint64_t)work->prompt_tokens + work->output_tokens;
}

void
at_server_note_sent(at_server_t *server, const at_work_t *work, uint64_t now_us)
{
	server->recent_tokens =
	    decay_tokens(server->recent_tokens, server->recent_us, now_us) +
	    work->prompt_tokens;
	server->recent_us = now_us;
	server->references++;
	server->own_load.active++;
	server->own_load.prefill_tokens += work->prompt_tokens;
	server->own_load.kv_tokens += kv_tokens_of(work);
	prefixes_add(server, work);
	server_limit_take(&server->limit, now_us);
	server_room_take(&server->room, now_us);
}

void
at_server_note_first_event(at_server_t *server, const at_work_t *work,
    uint64_t predicted_us, uint64_t observed_us)
{
	server->own_load.prefill_tokens -= work->prompt_tokens;
	server_health_note_time(&server->health, predicted_us, observed_us);
}

static void
note_tokens(at_fleet_t *fleet, double tokens)
{
	if (fleet->mean_tokens == 0.)
		fleet->mean_tokens = tokens;
	fleet->mean_tokens +=
	    (tokens - fleet->mean_tokens) * MEAN_TOKENS_WEIGHT;
}

void
at_fleet_note_ended(at_fleet_t *fleet, at_server_t *server,
    const at_work_t *work, int had_first_event, at_server_outcome_t outcome,
    uint64_t now_us)
{
	note_tokens(fleet, (double)kv_tokens_of(work));
	server->references--;
	server->own_load.active--;
	server->own_load.kv_tokens -= kv_tokens_of(work);
	if (!had_first_event)
		server->own_load.prefill_tokens -= work->prompt_tokens;
	if (outcome == AT_OUTCOME_SUCCESS && now_us >= server->paused_until_us)
		server->paused_until_us = 0;
	server_health_note_outcome(&server->health, outcome, now_us);
	if (outcome == AT_OUTCOME_UNREACHABLE)
		server_cold_note_unreachable(server, now_us);
	delete_if_unused(fleet, server);
}

void
at_server_note_prompt(at_server_t *server, const at_work_t *work,
    uint64_t observed_us, uint64_t now_us)
{
	uint32_t unread =
	    server->own_load.prefill_tokens + server->peer_load.prefill_tokens;

	/*
	 * With other prompts at the server the time would be theirs, too; one
	 * with a known prefix may be cached.
	 */
	if (work->model != 0 && unread == work->prompt_tokens &&
	    work->prefix_count == 0)
		at_speed_note_prompt(
		    server->speed, work->prompt_tokens, observed_us, now_us);
}

void
at_server_note_events(at_server_t *server, const at_work_t *work,
    uint32_t count, uint32_t usual_us, uint64_t now_us)
{
	if (work->model != 0)
		at_speed_note_events(
		    server->speed, work->model, count, usual_us, now_us);
}

void
at_server_note_completed(at_server_t *server, const at_work_t *work,
    uint32_t events, uint64_t run_us, uint64_t now_us)
{
	if (work->model != 0) {
		/* One that ended early took less than was expected of it. */
		if (events >= STREAM_MIN_EVENTS)
			at_speed_note_stream(server->speed, work->model,
			    work->output_tokens, run_us, now_us);
		return;
	}
	/* With more requests than slots it may have waited at the server. */
	if (at_server_load(server, now_us).active <= server->entry.slots)
		at_speed_note_plain(server->speed, run_us, now_us);
}

int
at_server_note_speed(
    at_server_t *server, uint64_t now_us, uint32_t *factor_milli)
{
	int was_slow = server->is_slow;

	*factor_milli = at_speed_lasting_milli(server->speed, now_us);
	server->is_slow =
	    *factor_milli >= (was_slow ? SLOW_END_MILLI : SLOW_MILLI);
	return server->is_slow != was_slow;
}

int
at_server_is_slow(const at_server_t *server)
{
	return server->is_slow;
}

uint32_t
at_server_slow_milli(const at_server_t *server, uint64_t now_us)
{
	uint32_t milli = at_speed_lasting_milli(server->speed, now_us);

	return milli >= SLOW_MILLI ? milli : 0;
}

size_t
at_fleet_slow(const at_fleet_t *fleet, uint64_t now_us)
{
	const at_server_t *server;
	size_t count = 0;

	for (server = fleet->servers; server != NULL; server = server->hh.next)
		count += (size_t)(server->is_listed &&
				  at_server_slow_milli(server, now_us) != 0);
	return count;
}

void
at_server_note_silent(at_server_t *server, uint64_t now_us)
{
	server_health_note_outcome(&server->health, AT_OUTCOME_FAILED, now_us);
}

void
at_server_note_responding(at_server_t *server, uint64_t now_us)
{
	server_health_note_outcome(&server->health, AT_OUTCOME_SUCCESS, now_us);
}

int
at_server_note_leaving(at_server_t *server)
{
	if (server->has_stated_leaving)
		return 0;
	server->has_stated_leaving = 1;
	server->entry.is_leaving = 1;
	return 1;
}

size_t
at_fleet_fill_leaving(
    const at_fleet_t *fleet, at_leaving_report_t *entries, size_t max)
{
	const at_server_t *server;
	size_t count = 0;

	for (server = fleet->servers; server != NULL && count < max;
	     server = server->hh.next) {
		if (server->is_listed && server->has_stated_leaving)
			entries[count++] = (at_leaving_report_t){
			    server->entry.tag, server->entry.started_ms};
	}
	return count;
}

int
at_fleet_apply_leaving(at_fleet_t *fleet, const at_leaving_report_t *report)
{
	at_server_t *server = at_fleet_find(fleet, report->server);

	return server != NULL &&
	       server->entry.started_ms == report->started_ms &&
	       at_server_note_leaving(server);
}

void
at_server_note_pause(at_server_t *server, uint64_t until_us)
{
	if (until_us > server->paused_until_us)
		server->paused_until_us = until_us;
}

int
at_server_note_limit(
    at_server_t *server, uint32_t rate_milli, uint64_t received_us)
{
	return server_limit_note(&server->limit, rate_milli, received_us);
}

uint64_t
at_server_limit_key(const at_server_t *server, uint64_t now_us)
{
	uint64_t silent_us = now_us > server->limit.received_us
				 ? now_us - server->limit.received_us
				 : 0;

	return server->entry.tag ^ (silent_us / AT_SERVER_LIMIT_TURN_US);
}

void
at_server_set_limit_share(
    at_server_t *server, uint32_t rank, uint32_t instances, uint64_t now_us)
{
	if (server->limit.rate_milli != 0)
		server_limit_set_share(&server->limit, rank, instances, now_us);
}

uint32_t
at_server_limit_milli(const at_server_t *server)
{
	return server->limit.rate_milli;
}

size_t
at_fleet_fill_limits(const at_fleet_t *fleet, at_limit_report_t *entries,
    size_t max, uint64_t now_us)
{
	const at_server_t *server;
	size_t count = 0;

	for (server = fleet->servers; server != NULL && count < max;
	     server = server->hh.next) {
		const server_limit_t *limit = &server->limit;

		if (!server->is_listed ||
		    (limit->rate_milli == 0 &&
			(limit->received_us == 0 ||
			    now_us >=
				limit->received_us + AT_SERVER_LIMIT_TURN_US)))
			continue;
		entries[count++] = (at_limit_report_t){
		    server->entry.tag, limit->rate_milli, limit->received_us};
	}
	return count;
}

size_t
at_fleet_fill_report(const at_fleet_t *fleet, at_load_report_t *entries,
    size_t max, uint64_t now_us)
{
	const at_server_t *server;
	size_t count = 0;

	for (server = fleet->servers; server != NULL && count < max;
	     server = server->hh.next) {
		uint32_t speed = at_speed_report(server->speed, now_us);

		if (server->own_load.active == 0 &&
		    !server->health.unreachable && speed == 0)
			continue;
		entries[count].server = server->entry.tag;
		entries[count].load = server->own_load;
		entries[count].load.speed = speed;
		entries[count].load.unreachable =
		    server->health.unreachable &&
		    now_us < server->health.backoff_until_us;
		entries[count].load.recent_tokens = decay_tokens(
		    server->recent_tokens, server->recent_us, now_us);
		count++;
	}
	return count;
}

static void
add_load(at_load_t *sum, const at_load_t *load)
{
	sum->active += load->active;
	sum->prefill_tokens += load->prefill_tokens;
	sum->kv_tokens += load->kv_tokens;
	sum->recent_tokens += load->recent_tokens;
}

size_t
at_fleet_sum_reports(at_fleet_t *fleet,
    int (*is_member)(void *ctx, at_tag_t instance), void *ctx,
    at_load_report_t *entries, size_t max, uint64_t now_us)
{
	const peer_report_t *report;
	at_server_t *server;
	size_t count = 0;
	size_t i;

	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		server->member_load = server->own_load;
		server->member_load.recent_tokens = decay_tokens(
		    server->recent_tokens, server->recent_us, now_us);
	}
	for (report = fleet->reports; report != NULL;
	     report = report->hh.next) {
		if (!is_member(ctx, report->instance))
			continue;
		for (i = 0; i < report->count; i++) {
			server =
			    at_fleet_find(fleet, report->entries[i].server);
			if (server != NULL)
				add_load(&server->member_load,
				    &report->entries[i].load);
		}
	}
	for (server = fleet->servers; server != NULL && count < max;
	     server = server->hh.next) {
		uint32_t speed =
		    at_speed_sum(server->speed, is_member, ctx, now_us);

		if (server->member_load.active == 0 && speed == 0)
			continue;
		entries[count].server = server->entry.tag;
		entries[count].load = server->member_load;
		entries[count].load.speed = speed;
		entries[count++].load.unreachable = 0;
	}
	return count;
}

/* Adds (sign 1) or subtracts (sign -1) the loads in a report. */
static void
sum_report(at_fleet_t *fleet, const peer_report_t *report, int sign)
{
	size_t i;

	for (i = 0; i < report->count; i++) {
		const at_load_t *load = &report->entries[i].load;
		at_server_t *server =
		    at_fleet_find(fleet, report->entries[i].server);

		if (server == NULL)
			continue;
		if (sign > 0) {
			server->peer_load.active += load->active;
			server->peer_load.prefill_tokens +=
			    load->prefill_tokens;
			server->peer_load.kv_tokens += load->kv_tokens;
			server->peer_load.recent_tokens += load->recent_tokens;
			at_speed_apply(server->speed, report->instance,
			    load->speed, report->received_us);
		} else {
			server->peer_load.active -= load->active;
			server->peer_load.prefill_tokens -=
			    load->prefill_tokens;
			server->peer_load.kv_tokens -= load->kv_tokens;
			server->peer_load.recent_tokens -= load->recent_tokens;
		}
	}
}

void
at_fleet_apply_report(at_fleet_t *fleet, at_tag_t instance,
    const at_load_report_t *entries, size_t count, uint64_t now_us)
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
	sum_report(fleet, report, -1);
	if (count > 0)
		memcpy(copy, entries, count * sizeof(*copy));
	free(report->entries);
	report->entries = copy;
	report->count = count;
	report->received_us = now_us;
	sum_report(fleet, report, 1);
}

void
at_fleet_apply_unreachable(at_fleet_t *fleet, at_tag_t tag, uint64_t now_us)
{
	at_server_t *server = at_fleet_find(fleet, tag);

	if (server == NULL)
		return;
	server_health_apply_unreachable(&server->health, now_us);
	if (!at_server_is_available(server, now_us))
		server_cold_note_unreachable(server, now_us);
}

void
at_fleet_forget_failures(at_fleet_t *fleet)
{
	at_server_t *server;

	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		server_health_forget_failures(&server->health);
		server_cold_forget_unreachable(&server->cold);
	}
}

int
at_server_accepts_relayed(const at_server_t *server, uint64_t now_us)
{
	return server->is_listed && !server->entry.is_leaving &&
	       !server->is_evacuated && now_us >= server->paused_until_us;
}

/* How many of the chosen entries are in a data centre. */
static uint32_t
count_in(
    const at_server_entry_t *const *entries, size_t count, at_tag_t data_centre)
{
	uint32_t found = 0;
	size_t i;

	for (i = 0; i < count; i++)
		found += (uint32_t)(entries[i]->data_centre == data_centre);
	return found;
}

static int
is_chosen(const at_server_entry_t *const *entries, size_t count,
    const at_server_entry_t *entry)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (entries[i] == entry)
			return 1;
	}
	return 0;
}

/* Draws one of the servers whose data centre has been chosen least often. */
static const at_server_entry_t *
pick_probe(
    at_fleet_t *fleet, const at_server_entry_t *const *entries, size_t count)
{
	const at_server_entry_t *best = NULL;
	uint32_t best_count = 0;
	uint32_t equals = 0;
	const at_server_t *server;

	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		const at_server_entry_t *entry = &server->entry;
		uint32_t in_data_centre =
		    count_in(entries, count, entry->data_centre);

		if (!server->is_listed || entry->is_leaving ||
		    is_chosen(entries, count, entry) ||
		    (best != NULL && in_data_centre > best_count))
			continue;
		if (best == NULL || in_data_centre < best_count)
			equals = 0;
		best_count = in_data_centre;
		if (fleet_random(fleet) % ++equals == 0)
			best = entry;
	}
	return best;
}

size_t
at_fleet_pick_probes(
    at_fleet_t *fleet, const at_server_entry_t **entries, size_t max)
{
	size_t count = 0;

	while (count < max &&
	       (entries[count] = pick_probe(fleet, entries, count)) != NULL)
		count++;
	return count;
}

void
at_fleet_expire_reports(at_fleet_t *fleet, uint64_t now_us, uint64_t max_age_us)
{
	peer_report_t *report;
	peer_report_t *next;

	HASH_ITER(hh, fleet->reports, report, next)
	{
		if (now_us - report->received_us <= max_age_us)
			continue;
		sum_report(fleet, report, -1);
		HASH_DEL(fleet->reports, report);
		free(report->entries);
		free(report);
	}
}
