/*
 * choose.c - which backend server a request goes to.
 *
 * Answers the load pattern in which every instance sees a part of the
 * traffic and all of them would otherwise pick the same idle engine: what is
 * in flight is counted over all instances, prompts that are still to be read
 * are bounded for each engine, so that the streams already running there keep
 * their pace, and requests with time to spare leave room for the others.
 */
#include <string.h>

#include "core/fleet/fleet_private.h"

#define TOKEN_US 40u    /* a prompt token; 29 are read in a ms, less decoding */
#define PLACE_US 400u   /* what each running request adds to a step */
#define FAR_US 3000u    /* to another data centre and back */
#define PLAIN_US 50000u /* one request of a plain service, until known */
#define PREFILL_MAX 6000u     /* prompt tokens waiting at one engine */
#define PREFILL_RELAXED 3500u /* the same, for requests with time to spare */
#define PROMPT_USUAL 2500u    /* prompt tokens that count against both bounds */
#define RECENT_MAX 7000u      /* prompt tokens sent lately to one engine */
#define KV_FILL_PERCENT 92u   /* of an engine's memory for tokens */
#define PLAIN_QUEUE 3u        /* requests for each place of a plain service */
#define TIE_PERCENT 5u        /* predictions this close are equal */

static uint64_t
next_tie(at_fleet_t *fleet)
{
	fleet->ties = fleet->ties * 6364136223846793005u + 1442695040888963407u;
	return fleet->ties >> 33;
}

/* A part counts under all parts before it: a hash of the path to it. */
static uint64_t
path_hash(uint64_t path, uint64_t part, at_tag_t weights)
{
	uint64_t h = (path ^ part ^ weights) * 0x9e3779b97f4a7c15u;

	return h ^ (h >> 29);
}

void
prefixes_add(at_server_t *server, const at_work_t *work)
{
	at_tag_t weights = work->adapter != 0 ? work->adapter : work->model;
	uint64_t path = 0;
	size_t i;

	for (i = 0; i < work->prefix_count; i++) {
		path = path_hash(path, work->prefix[i].id, weights);
		server->prefixes[path % PREFIXES_KEPT] = path;
	}
}

/* Prompt tokens that the server probably still keeps. */
static uint32_t
kept_tokens(const at_server_t *server, const at_work_t *work)
{
	at_tag_t weights = work->adapter != 0 ? work->adapter : work->model;
	uint64_t path = 0;
	uint32_t kept = 0;
	size_t i;

	for (i = 0; i < work->prefix_count; i++) {
		path = path_hash(path, work->prefix[i].id, weights);
		if (server->prefixes[path % PREFIXES_KEPT] != path)
			break;
		kept += work->prefix[i].tokens;
	}
	return kept < work->prompt_tokens ? kept : work->prompt_tokens;
}

static int
is_avoided(const at_work_t *work, at_tag_t server)
{
	size_t i;

	for (i = 0; i < AT_SITE_ATTEMPTS_MAX; i++) {
		if (work->avoid[i] == server)
			return 1;
	}
	return 0;
}

static int
has_room(const at_server_t *server, const at_site_service_t *service,
    const at_work_t *work, uint64_t now_us)
{
	at_load_t load = at_server_load(server, now_us);
	uint32_t prefill_max = work->relaxed ? PREFILL_RELAXED : PREFILL_MAX;
	/* A long prompt finds room where a usual one would. */
	uint32_t prompt = work->prompt_tokens < PROMPT_USUAL
			      ? work->prompt_tokens
			      : PROMPT_USUAL;
	uint64_t kv = (uint64_t)work->prompt_tokens + work->output_tokens;

	/*
	 * Loads of the others are some hundred milliseconds old, longer than
	 * most requests of a plain service take: its own queue keeps it busy.
	 */
	if (work->model == 0)
		return load.active < server->entry.slots * PLAIN_QUEUE;
	if (load.active >= server->entry.slots)
		return 0;
	if (load.active == 0)
		return 1;
	if (load.prefill_tokens > 0 &&
	    load.prefill_tokens + prompt > prefill_max)
		return 0;
	/* Else every step of the streams there reads a piece of a prompt. */
	if (load.recent_tokens > 0 && load.recent_tokens + prompt > RECENT_MAX)
		return 0;
	return load.kv_tokens + kv <=
	       service->kv_tokens * KV_FILL_PERCENT / 100u;
}

static uint64_t
predict_us(const at_fleet_t *fleet, const at_server_t *server,
    const at_work_t *work, uint64_t now_us)
{
	at_load_t load = at_server_load(server, now_us);
	uint64_t us;

	if (work->model == 0)
		us = PLAIN_US + (uint64_t)load.active * PLAIN_US /
				    (server->entry.slots + 1u);
	else
		us = ((uint64_t)load.prefill_tokens + work->prompt_tokens -
			 kept_tokens(server, work)) *
			 TOKEN_US +
		     (uint64_t)load.active * PLACE_US;
	us = us * server->trust.slow_milli / 1000u;
	if (server->entry.data_centre != fleet->data_centre)
		us += FAR_US;
	return us;
}

static int
is_better(at_fleet_t *fleet, uint64_t us, const at_choice_t *best)
{
	uint64_t margin = best->predicted_us * TIE_PERCENT / 100u;

	if (best->server == NULL)
		return 1;
	if (us + margin < best->predicted_us)
		return 1;
	if (us > best->predicted_us + margin)
		return 0;
	return (next_tie(fleet) & 1u) == 0;
}

at_fit_t
at_fleet_choose(at_fleet_t *fleet, const at_work_t *work, uint64_t now_us,
    at_choice_t *choice)
{
	const at_site_service_t *service =
	    fleet->site == NULL ? NULL
				: at_site_service(fleet->site, work->service);
	at_server_t *server;
	uint32_t usable = 0;

	memset(choice, 0, sizeof(*choice));
	if (service == NULL)
		return AT_FIT_NOBODY;
	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		uint64_t us;

		if (!server->listed || server->entry.leaving ||
		    server->entry.service != work->service ||
		    is_avoided(work, server->entry.tag))
			continue;
		usable++;
		if (work->model != 0 && at_server_holds(server, work->model, 0))
			choice->holders++;
		if (work->model != 0 &&
		    !at_server_holds(server, work->model, work->adapter))
			continue;
		choice->candidates++;
		if (!trust_allows(&server->trust, now_us, server->own.active) ||
		    !has_room(server, service, work, now_us))
			continue;
		us = predict_us(fleet, server, work, now_us);
		if (!is_better(fleet, us, choice))
			continue;
		choice->server = server;
		choice->predicted_us = us;
	}
	if (choice->server != NULL)
		return AT_FIT_SERVER;
	if (usable == 0)
		return AT_FIT_NOBODY;
	return choice->candidates > 0 ? AT_FIT_FULL : AT_FIT_ABSENT;
}
