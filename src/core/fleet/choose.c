/*
 * choose.c - selects the backend server for a request.
 *
 * Every instance sees only a part of the traffic, and without coordination all
 * of them would pick the same idle engine. Therefore requests in flight are
 * counted over all instances, and among engines of nearly equal cost one is
 * drawn at random, weighted by its free slots. The prompt tokens that wait at
 * each engine are bounded, so that the streams that already run there keep
 * their pace; the bound is lower for requests with slack, which leaves slots
 * for the others.
 *
 * Engines of one service may differ in speed by a factor of two and more
 * (service_times.h). At a slow one not only the first event is late: while
 * prompts are read, all streams there pause longer than callers accept. Both
 * count by the engine's factor, and the fast engines are not filled to the last
 * slot while slower ones are idle. With equal factors the choice is the same as
 * without.
 */
#include <string.h>

#include "core/fleet/fleet_private.h"

/*
 * Time to read a prompt token. An engine reads 29 of them in 1 ms, and fewer
 * while it decodes.
 */
#define TOKEN_US 40u
/* Time that each running request adds to a step of its batch. */
#define ACTIVE_REQUEST_US 400u
/* Added for an engine in another data centre, as its load is known late. */
#define REMOTE_ENGINE_US 25000u
/* Added for a plain service in another data centre: the round trip. */
#define REMOTE_PLAIN_US 3000u
/* Estimate for one request of a plain service. */
#define PLAIN_REQUEST_US 50000u
/* Limit of unread prompt tokens at one engine. */
#define PREFILL_MAX_TOKENS 6000u
/* Limit of unread prompt tokens at one engine for requests with slack. */
#define PREFILL_SLACK_MAX_TOKENS 3500u
/* Largest part of one prompt that counts against the limits of tokens. */
#define PROMPT_COUNTED_MAX_TOKENS 2500u
/* Limit of recently sent prompt tokens at one engine. */
#define RECENT_MAX_TOKENS 7000u
/* Delay of the running streams for each recently sent prompt token. */
#define RECENT_TOKEN_US 15u
/* Reading this many prompt tokens at once delays an event by 300 ms. */
#define LONG_PAUSE_TOKENS 6000u
/* Cost of a long pause for each running stream. */
#define LONG_PAUSE_US 8000u
/* Usable part of the memory of an engine's key-value cache. */
#define KV_FILL_PERCENT 92u
/* Requests for each slot of a plain service. */
#define PLAIN_REQUESTS_PER_SLOT 3u
/* Costs within this part of the lowest, plus TIE_US, count as equal. */
#define TIE_PERCENT 5u
/* The cost of one prompt that a peer has sent and not reported yet. */
#define TIE_US 30000u
/* Used instead of TIE_US for a plain service. */
#define TIE_PLAIN_US 5000u

uint64_t
fleet_random(at_fleet_t *fleet)
{
	fleet->random_state =
	    fleet->random_state * 6364136223846793005u + 1442695040888963407u;
	return fleet->random_state >> 33;
}

/*
 * A part of a prompt matches only after the same preceding parts, so its hash
 * covers the path to it.
 */
static uint64_t
hash_path(uint64_t path, uint64_t part, at_tag_t weights)
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
		path = hash_path(path, work->prefix[i].id, weights);
		server->prefixes[path % PREFIX_HASHES] = path;
	}
}

/*
 * Returns the number of prompt tokens that are probably in the prefix cache of
 * the server.
 */
static uint32_t
cached_tokens(const at_server_t *server, const at_work_t *work)
{
	at_tag_t weights = work->adapter != 0 ? work->adapter : work->model;
	uint64_t path = 0;
	uint32_t cached = 0;
	size_t i;

	for (i = 0; i < work->prefix_count; i++) {
		path = hash_path(path, work->prefix[i].id, weights);
		if (server->prefixes[path % PREFIX_HASHES] != path)
			break;
		cached += work->prefix[i].tokens;
	}
	return cached < work->prompt_tokens ? cached : work->prompt_tokens;
}

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/*
 * Returns how many prompts of the same length, each tokens long, fit below a
 * limit, at most max, which is at least 1. A single prompt may exceed the limit
 * if there are no others.
 */
static uint32_t
prompts_below_limit(
    uint64_t present, uint64_t each, uint64_t limit, uint32_t max)
{
	/* Mostly the limit is far away; a division for each would take longer.
	 */
	if (present + each * max <= limit)
		return max;
	if (present + each > limit)
		return present == 0;
	return min_u32(
	    (uint32_t)((limit - present) / (each == 0 ? 1u : each)), max);
}

/*
 * Returns the number of further requests like this one that a server can take.
 */
static uint32_t
free_slots_now(const at_server_t *server, const at_site_service_t *service,
    const at_work_t *work, const at_load_t *load)
{
	uint32_t prefill_limit =
	    work->has_slack ? PREFILL_SLACK_MAX_TOKENS : PREFILL_MAX_TOKENS;
	/*
	 * A long prompt counts as a usual one; otherwise it might never be
	 * placed.
	 */
	uint32_t prompt =
	    min_u32(work->prompt_tokens, PROMPT_COUNTED_MAX_TOKENS);
	uint64_t kv = (uint64_t)work->prompt_tokens + work->output_tokens;
	uint32_t slots = server->entry.slots;
	uint32_t free_slots;

	/*
	 * The loads reported by peers are some hundred milliseconds old, longer
	 * than most requests of a plain service take. The queue of the service
	 * itself keeps it busy meanwhile.
	 */
	if (work->model == 0)
		slots *= PLAIN_REQUESTS_PER_SLOT;
	if (load->active >= slots)
		return 0;
	free_slots = slots - load->active;
	if (work->model == 0)
		return free_slots;
	free_slots = prompts_below_limit(
	    load->prefill_tokens, prompt, prefill_limit, free_slots);
	/*
	 * Without this limit every step of the streams that run there would
	 * also read a part of a prompt and take longer.
	 */
	free_slots = prompts_below_limit(
	    load->recent_tokens, prompt, RECENT_MAX_TOKENS, free_slots);
	free_slots = prompts_below_limit(load->kv_tokens, kv,
	    service->kv_tokens * KV_FILL_PERCENT / 100u, free_slots);
	return load->active == 0 && free_slots == 0 ? 1u : free_slots;
}

/* The same at a brittle server, which must not reject any. */
static uint32_t
free_room_at(const at_server_t *server, const at_site_service_t *service,
    const at_work_t *work, const at_load_t *load, uint64_t now_us)
{
	uint64_t kv = (uint64_t)work->prompt_tokens + work->output_tokens;
	uint64_t kv_limit = service->kv_tokens * KV_FILL_PERCENT / 100u;
	uint32_t room = min_u32(server_room_free(server, load, now_us),
	    free_slots_now(server, service, work, load));

	if (room == 0 || load->active >= server->entry.slots)
		return 0;
	if (work->model == 0 || server->own_load.active == 0)
		return room;
	return prompts_below_limit(server->own_load.kv_tokens, kv,
	    server_room_kv_tokens(server, kv_limit), room);
}

/* What a choice takes from the service times, for the mean server. */
typedef struct pace {
	double event_us;
	double prompt_token_us;
	double per_gap_us; /* of the longest gap of an on-time stream; 0: any */
} pace_t;

#define FACTOR_UNIT (1. / AT_FACTOR_MEAN_MILLI)

static pace_t
get_pace(const at_fleet_t *fleet, const at_work_t *work, uint64_t now_us)
{
	at_service_time_t time;

	if (work->event_gap_ms == 0)
		return (pace_t){0., 0., 0.};
	at_service_times_get(
	    fleet->times, work->service, 0, work->model, now_us, &time);
	return (pace_t){(double)time.event_us,
	    (double)time.prompt_token_ns / 1000.,
	    1. / ((double)work->event_gap_ms * 1000.)};
}

/* Returns the factor of a server's times; that of the mean server is 1. */
static double
get_factor(const at_server_t *server, uint64_t now_us)
{
	uint32_t milli = at_speed_factor_milli(server->speed, now_us);

	return milli == AT_FACTOR_MEAN_MILLI ? 1. : milli * FACTOR_UNIT;
}

/*
 * Returns what a server's speed adds to the cost of a request besides the
 * predicted time.
 *
 * A stream pauses for the time of an event and of the prompts that are read in
 * it: the unread ones, or as many as were sent there lately, and its own. A
 * pause as long as the longest gap costs as much as that; others cost the
 * square of their part of it, less below, as a server may be slower for a time
 * than it was, and more above, as a server where streams are late already must
 * not seem cheaper. What is more than at the mean server counts.
 */
static uint64_t
speed_cost_us(const at_server_t *server, const at_load_t *load,
    const pace_t *pace, uint32_t prompt, uint64_t predicted_us, double factor)
{
	uint32_t tokens = load->prefill_tokens > load->recent_tokens
			      ? load->prefill_tokens
			      : load->recent_tokens;

	if (factor == 1.)
		return 0;
	if (factor > 1.) {
		double pause_us = pace->event_us + ((double)tokens + prompt) *
						       pace->prompt_token_us;

		return (uint64_t)(pause_us * pause_us * pace->per_gap_us *
				  (factor * factor - 1.));
	}
	/*
	 * All instances know the same fastest servers. One that is nearly full
	 * is preferred to a mean one no more.
	 */
	return (uint64_t)((double)predicted_us * (1. / factor - 1.) *
			  load->active * load->active /
			  (server->entry.slots + 1u) /
			  (server->entry.slots + 1u));
}

static uint64_t
predict_us(const at_fleet_t *fleet, const at_server_t *server,
    const at_work_t *work, const at_load_t *load, uint32_t prompt,
    double factor)
{
	int is_far = server->entry.data_centre != fleet->data_centre;
	uint64_t us;

	if (work->model == 0)
		us = PLAIN_REQUEST_US + (uint64_t)load->active *
					    PLAIN_REQUEST_US /
					    (server->entry.slots + 1u);
	else
		us = ((uint64_t)load->prefill_tokens + prompt) * TOKEN_US +
		     (uint64_t)load->active * ACTIVE_REQUEST_US;
	us = us * server->health.slowdown_milli / 1000u;
	if (factor != 1.)
		us = (uint64_t)((double)us * factor);
	if (is_far)
		us += work->model == 0 ? REMOTE_PLAIN_US : REMOTE_ENGINE_US;
	return us;
}

/*
 * Returns the cost of a request at a server: its own predicted time and the
 * delay of the streams that run there, which pause too long if many prompt
 * tokens were sent there recently: the sooner, the slower the server is.
 */
static uint64_t
cost_us(const at_work_t *work, const at_load_t *load, uint64_t predicted,
    double factor)
{
	double recent =
	    ((double)load->recent_tokens + work->prompt_tokens) * factor;

	if (work->model == 0)
		return predicted;
	if (recent > LONG_PAUSE_TOKENS)
		predicted += (uint64_t)load->active * LONG_PAUSE_US;
	return predicted + (uint64_t)((double)load->recent_tokens *
				      RECENT_TOKEN_US * factor);
}

/* Candidates that may not get the request now for another reason than load. */
typedef struct closed_servers {
	uint32_t in_backoff;
	uint32_t limited;
	uint32_t paused;
	uint32_t cold;
	uint64_t closed_us; /* until the first of these may get one */
	uint64_t cold_us;   /* the same of the cold ones */
} closed_servers_t;

static void
note_closed(closed_servers_t *closed, const at_server_t *server,
    server_gate_t gate, uint64_t now_us)
{
	uint64_t wait_us = UINT64_MAX;

	if (gate == SERVER_GATE_OPEN)
		return;
	closed->in_backoff += (uint32_t)(gate == SERVER_GATE_BACKOFF);
	closed->limited += (uint32_t)(gate == SERVER_GATE_LIMITED);
	closed->paused += (uint32_t)(gate == SERVER_GATE_PAUSED);
	if (gate == SERVER_GATE_LIMITED)
		wait_us = server_limit_wait_us(&server->limit);
	else if (gate == SERVER_GATE_PAUSED)
		wait_us = server->paused_until_us > now_us
			      ? server->paused_until_us - now_us
			      : 0;
	if (wait_us < closed->closed_us)
		closed->closed_us = wait_us;
	if (gate != SERVER_GATE_COLD)
		return;
	closed->cold++;
	wait_us = server_limit_wait_us(&server->limit);
	if (wait_us < closed->cold_us)
		closed->cold_us = wait_us;
}

/*
 * Requests with slack lose least where a cold engine is slow, so they go there
 * before any other engine. If there are too few of them for this instance's
 * part of the rate, short ones follow, whose own time is the least. Others go
 * there only if no other engine has a free slot. A stream that goes on pauses
 * for its caller if the engine is slow.
 */
typedef enum preference {
	PREFERENCE_FIRST,
	PREFERENCE_USUAL,
	PREFERENCE_LAST
} preference_t;

static preference_t
preference_of(const at_fleet_t *fleet, const at_server_t *server,
    const at_work_t *work, uint64_t now_us)
{
	double tokens = (double)work->prompt_tokens + work->output_tokens;

	if (now_us >= server->limit.cold_until_us)
		return PREFERENCE_USUAL;
	if (work->is_resumption)
		return PREFERENCE_LAST;
	return work->has_slack || (server_limit_is_unused(&server->limit) &&
				      tokens <= fleet->mean_tokens)
		   ? PREFERENCE_FIRST
		   : PREFERENCE_LAST;
}

/* A server with free slots. */
typedef struct candidate {
	at_server_t *server;
	uint64_t predicted_us;
	uint64_t cost_us;
	uint32_t free_slots;
	preference_t preference;
} candidate_t;

/* What is the same for all candidates of one choice. */
typedef struct choosing {
	at_fleet_t *fleet;
	const at_site_service_t *service;
	const at_work_t *work;
	uint64_t now_us;
	pace_t pace;
	int is_brittle;
} choosing_t;

/*
 * Returns zero if the server has no free slot for the request. What its speed
 * adds to the cost is left out if the cost is above limit_us without it.
 */
static int
evaluate(const choosing_t *choosing, candidate_t *candidate, uint64_t limit_us)
{
	const at_server_t *server = candidate->server;
	const at_work_t *work = choosing->work;
	const at_load_t load = at_server_load(server, choosing->now_us);
	double factor;
	uint32_t prompt;

	candidate->free_slots =
	    choosing->is_brittle
		? free_room_at(
		      server, choosing->service, work, &load, choosing->now_us)
		: free_slots_now(server, choosing->service, work, &load);
	if (candidate->free_slots == 0)
		return 0;
	factor = get_factor(server, choosing->now_us);
	prompt = work->prompt_tokens - cached_tokens(server, work);
	candidate->predicted_us =
	    predict_us(choosing->fleet, server, work, &load, prompt, factor);
	candidate->cost_us =
	    cost_us(work, &load, candidate->predicted_us, factor);
	if (candidate->cost_us <= limit_us)
		candidate->cost_us += speed_cost_us(server, &load,
		    &choosing->pace, prompt, candidate->predicted_us, factor);
	return 1;
}

/* State of the weighted random choice among the cheapest candidates. */
typedef struct selection {
	preference_t preference;
	uint64_t cost_us;
	uint64_t free_slots; /* sum over the candidates of nearly equal cost */
} selection_t;

/* Costs within this of the lowest one count as equal to it. */
static uint64_t
margin_us(const selection_t *selection, const at_work_t *work)
{
	return selection->cost_us * TIE_PERCENT / 100u +
	       (work->model == 0 ? TIE_PLAIN_US : TIE_US);
}

/* Draws one of the candidates of nearly equal cost, weighted by free slots. */
static void
consider_candidate(at_fleet_t *fleet, const at_work_t *work,
    const candidate_t *candidate, at_choice_t *choice, selection_t *selection)
{
	uint64_t margin = margin_us(selection, work);

	choice->free_slots += candidate->free_slots;
	if (choice->server != NULL &&
	    candidate->preference > selection->preference)
		return;
	if (choice->server != NULL &&
	    candidate->preference == selection->preference &&
	    candidate->cost_us > selection->cost_us + margin)
		return;
	if (choice->server == NULL ||
	    candidate->preference < selection->preference ||
	    candidate->cost_us + margin < selection->cost_us)
		selection->free_slots = 0;
	selection->preference = candidate->preference;
	if (selection->free_slots == 0 ||
	    candidate->cost_us < selection->cost_us)
		selection->cost_us = candidate->cost_us;
	selection->free_slots += candidate->free_slots;
	/* Both are below 2^32, and the division of 32 bits is faster. */
	if ((uint32_t)fleet_random(fleet) % (uint32_t)selection->free_slots >=
	    candidate->free_slots)
		return;
	choice->server = candidate->server;
	choice->predicted_us = candidate->predicted_us;
}

at_choice_result_t
at_fleet_choose(at_fleet_t *fleet, const at_work_t *work, uint64_t now_us,
    at_choice_t *choice)
{
	const at_site_service_t *service =
	    fleet->site == NULL
		? NULL
		: at_site_find_service(fleet->site, work->service);
	at_server_t *server;
	selection_t selection = {.preference = PREFERENCE_USUAL};
	closed_servers_t closed = {
	    .closed_us = UINT64_MAX, .cold_us = UINT64_MAX};
	uint32_t available = 0;
	int other_versions = 0;
	const choosing_t choosing = {.fleet = fleet,
	    .service = service == NULL ? work->own_service : service,
	    .work = work,
	    .now_us = now_us,
	    .pace = get_pace(fleet, work, now_us),
	    .is_brittle = at_fleet_is_brittle(fleet, work->service)};

	memset(choice, 0, sizeof(*choice));
	if (service == NULL)
		service = work->own_service;
	if (service == NULL)
		return AT_CHOICE_NO_SERVER;
	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		candidate_t candidate = {.server = server};
		int has_model = work->model == 0 ||
				at_server_has_resident(server, work->model, 0);
		server_gate_t gate;
		uint64_t limit_us;

		/* Most engines of a large fleet do not have the model. */
		if (!has_model && available > 0 && work->software == 0)
			continue;
		gate = server_gate_check(server, work, now_us);
		other_versions |= gate == SERVER_GATE_OTHER_VERSION;
		choice->evacuated += gate == SERVER_GATE_EVACUATED;
		choice->outside_regions += gate == SERVER_GATE_REGION;
		if (gate == SERVER_GATE_EXCLUDED ||
		    gate == SERVER_GATE_OTHER_VERSION ||
		    gate == SERVER_GATE_EVACUATED || gate == SERVER_GATE_REGION)
			continue;
		available++;
		if (!has_model)
			continue;
		choice->model_servers++;
		/* A cold engine takes few of the requests that wait. */
		if (gate != SERVER_GATE_COLD)
			choice->batch_slots += server->entry.slots;
		if (work->adapter != 0 &&
		    !at_server_has_resident(server, work->model, work->adapter))
			continue;
		choice->candidates++;
		note_closed(&closed, server, gate, now_us);
		if (gate != SERVER_GATE_OPEN ||
		    (fleet->hold_count > 0 &&
			fleet_is_held(fleet, server, work)))
			continue;
		/* Only plain services are bounded by them (plain_rates.h). */
		if (work->model == 0) {
			at_load_t load = at_server_load(server, now_us);

			choice->open_slots += server->entry.slots;
			choice->open_active += load.active;
		}
		candidate.preference =
		    preference_of(fleet, server, work, now_us);
		limit_us =
		    choice->server == NULL ||
			    candidate.preference != selection.preference
			? UINT64_MAX
			: selection.cost_us + margin_us(&selection, work);
		if (!evaluate(&choosing, &candidate, limit_us))
			continue;
		/* A part of the rate covers one request at a time. */
		if (candidate.preference != PREFERENCE_USUAL)
			candidate.free_slots = 1;
		consider_candidate(fleet, work, &candidate, choice, &selection);
	}
	/*
	 * If no server has the model resident, count the slots of one engine.
	 */
	if (choice->batch_slots == 0)
		choice->batch_slots = service->slots;
	if (choice->server != NULL)
		return AT_CHOICE_SERVER;
	/*
	 * A model or adapter is loaded by any engine of the service. One that
	 * is resident at another version is not loaded again.
	 */
	if (available == 0 || (other_versions && choice->candidates == 0))
		return AT_CHOICE_NO_SERVER;
	if (closed.limited + closed.paused > 0 &&
	    closed.limited + closed.paused + closed.in_backoff ==
		choice->candidates) {
		choice->closed_us = closed.closed_us;
		return closed.paused > 0 ? AT_CHOICE_PAUSED : AT_CHOICE_LIMITED;
	}
	if (closed.cold > 0 &&
	    closed.cold + closed.limited + closed.paused + closed.in_backoff ==
		choice->candidates)
		choice->cold_us = closed.cold_us;
	return choice->candidates > 0 ? AT_CHOICE_FULL : AT_CHOICE_NOT_RESIDENT;
}
