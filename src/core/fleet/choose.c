/*
 * choose.c - which backend server a request goes to.
 *
 * Answers the load pattern in which every instance sees a part of the
 * traffic and all of them would otherwise pick the same idle engine: what is
 * in flight is counted over all instances, engines that are about as good are
 * drawn in proportion to their room, prompts that are still to be read are
 * bounded for each engine, so that the streams already running there keep
 * their pace, and requests with time to spare leave room for the others.
 */
#include <string.h>

#include "core/fleet/fleet_private.h"

#define TOKEN_US 40u  /* a prompt token; 29 are read in a ms, less decoding */
#define PLACE_US 400u /* what each running request adds to a step */
#define FAR_US 25000u /* loads of another data centre are told late */
#define FAR_PLAIN_US 3000u    /* to another data centre and back */
#define PLAIN_US 50000u       /* one request of a plain service, until known */
#define PREFILL_MAX 6000u     /* prompt tokens waiting at one engine */
#define PREFILL_RELAXED 3500u /* the same, for requests with time to spare */
#define PROMPT_USUAL 2500u    /* prompt tokens that count against both bounds */
#define RECENT_MAX 7000u      /* prompt tokens sent lately to one engine */
#define RECENT_US 15u         /* what each of them costs the streams there */
#define PAUSE_TOKENS 6000u    /* read at once, an event is 300 ms late */
#define PAUSE_US 8000u        /* what that costs for each stream there */
#define KV_FILL_PERCENT 92u   /* of an engine's memory for tokens */
#define PLAIN_QUEUE 3u        /* requests for each place of a plain service */
#define TIE_PERCENT 5u        /* predictions this close are equal */
#define TIE_US 30000u         /* and these: one prompt that is not told yet */
#define TIE_PLAIN_US 5000u    /* the same at a plain service */

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

/* How many prompts fit below a bound; what is there may be over it alone. */
static uint32_t
fits_below(uint64_t there, uint64_t each, uint64_t bound)
{
	if (there + each > bound)
		return there == 0;
	return (uint32_t)((bound - there) / (each == 0 ? 1u : each));
}

static uint32_t
least(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* How many requests like this one a server has room for. */
static uint32_t
rooms_at(const at_server_t *server, const at_site_service_t *service,
    const at_work_t *work, const at_load_t *load)
{
	uint32_t prefill_max = work->has_slack ? PREFILL_RELAXED : PREFILL_MAX;
	/* A long prompt finds room where a usual one would. */
	uint32_t prompt = least(work->prompt_tokens, PROMPT_USUAL);
	uint64_t kv = (uint64_t)work->prompt_tokens + work->output_tokens;
	uint32_t slots = server->entry.slots;
	uint32_t rooms;

	/*
	 * Loads of the others are some hundred milliseconds old, longer than
	 * most requests of a plain service take: its own queue keeps it busy.
	 */
	if (work->model == 0)
		slots *= PLAIN_QUEUE;
	if (load->active >= slots)
		return 0;
	rooms = slots - load->active;
	if (work->model == 0)
		return rooms;
	rooms =
	    least(rooms, fits_below(load->prefill_tokens, prompt, prefill_max));
	/* Else every step of the streams there reads a piece of a prompt. */
	rooms =
	    least(rooms, fits_below(load->recent_tokens, prompt, RECENT_MAX));
	rooms = least(rooms, fits_below(load->kv_tokens, kv,
				 service->kv_tokens * KV_FILL_PERCENT / 100u));
	return load->active == 0 && rooms == 0 ? 1u : rooms;
}

static uint64_t
predict_us(const at_fleet_t *fleet, const at_server_t *server,
    const at_work_t *work, const at_load_t *load)
{
	int is_far = server->entry.data_centre != fleet->data_centre;
	uint64_t us;

	if (work->model == 0)
		us = PLAIN_US + (uint64_t)load->active * PLAIN_US /
				    (server->entry.slots + 1u);
	else
		us = ((uint64_t)load->prefill_tokens + work->prompt_tokens -
			 kept_tokens(server, work)) *
			 TOKEN_US +
		     (uint64_t)load->active * PLACE_US;
	us = us * server->trust.slow_milli / 1000u;
	if (is_far)
		us += work->model == 0 ? FAR_PLAIN_US : FAR_US;
	return us;
}

/*
 * What a request costs at a server: its own time, and that of the streams
 * running there, which stand still for too long if much was sent there lately.
 */
static uint64_t
cost_us(const at_work_t *work, const at_load_t *load, uint64_t predicted)
{
	uint64_t recent = (uint64_t)load->recent_tokens + work->prompt_tokens;

	if (work->model == 0)
		return predicted;
	if (recent > PAUSE_TOKENS)
		predicted += (uint64_t)load->active * PAUSE_US;
	return predicted + load->recent_tokens * RECENT_US;
}

/* One server that has room, as it is considered. */
typedef struct spot {
	at_server_t *server;
	uint64_t predicted_us;
	uint64_t cost_us;
	uint32_t rooms;
} spot_t;

/* The best ones so far. */
typedef struct draw {
	uint64_t cost_us;
	uint64_t rooms; /* of those that one was drawn from */
} draw_t;

/* Draws among those that are about as good, in proportion to their room. */
static void
consider(at_fleet_t *fleet, const at_work_t *work, const spot_t *spot,
    at_choice_t *best, draw_t *draw)
{
	uint64_t margin = draw->cost_us * TIE_PERCENT / 100u +
			  (work->model == 0 ? TIE_PLAIN_US : TIE_US);

	best->free_slots += spot->rooms;
	if (best->server != NULL && spot->cost_us > draw->cost_us + margin)
		return;
	if (best->server == NULL || spot->cost_us + margin < draw->cost_us)
		draw->rooms = 0;
	if (draw->rooms == 0 || spot->cost_us < draw->cost_us)
		draw->cost_us = spot->cost_us;
	draw->rooms += spot->rooms;
	if (next_tie(fleet) % draw->rooms >= spot->rooms)
		return;
	best->server = spot->server;
	best->predicted_us = spot->predicted_us;
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
	draw_t draw = {0, 0};
	uint32_t usable = 0;

	memset(choice, 0, sizeof(*choice));
	if (service == NULL)
		return AT_CHOICE_NO_SERVER;
	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		spot_t spot = {.server = server};
		at_load_t load;

		if (!server->listed || server->entry.is_leaving ||
		    server->entry.service != work->service ||
		    is_avoided(work, server->entry.tag))
			continue;
		usable++;
		if (work->model == 0 ||
		    at_server_has_resident(server, work->model, 0)) {
			choice->model_servers++;
			choice->batch_slots += server->entry.slots;
		}
		if (work->model != 0 &&
		    !at_server_has_resident(server, work->model, work->adapter))
			continue;
		choice->candidates++;
		if (!server_health_allows(
			&server->trust, now_us, server->own.active))
			continue;
		load = at_server_load(server, now_us);
		spot.rooms = rooms_at(server, service, work, &load);
		if (spot.rooms == 0)
			continue;
		spot.predicted_us = predict_us(fleet, server, work, &load);
		spot.cost_us = cost_us(work, &load, spot.predicted_us);
		consider(fleet, work, &spot, choice, &draw);
	}
	/* Where none has the model, one engine will. */
	if (choice->batch_slots == 0)
		choice->batch_slots = service->slots;
	if (choice->server != NULL)
		return AT_CHOICE_SERVER;
	if (usable == 0)
		return AT_CHOICE_NO_SERVER;
	return choice->candidates > 0 ? AT_CHOICE_FULL : AT_CHOICE_NOT_RESIDENT;
}
