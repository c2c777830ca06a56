/*
 * gossip_origins.c - exchanges the origins of resumable streams: new ones are
 * sent to all instances, and an instance that starts or was out of contact asks
 * another one for all of them.
 */
#include "almondthread/log.h"
#include "entry/peers/gossip_impl.h"
#include "io/clock.h"

#define US_PER_MS 1000u
#define START_ANSWERS 2u /* a part of an answer may be lost */
/* An instance that finds none that is older stops asking after this time. */
#define ASKING_US 5000000u
/* Least time between two requests for all origins. */
#define REQUEST_INTERVAL_US 500000u
/* Instances that report again within this time were out of contact together. */
#define BACK_TOGETHER_US 1000000u
/* Of instances whose ages differ by less, none knows more than the others. */
#define AGE_MARGIN_MS 200u

uint32_t
origins_age_ms(const at_gossip_t *gossip)
{
	if (gossip->was_out_of_contact)
		return 0;
	return (uint32_t)((at_clock_now_us() - gossip->started_us) / US_PER_MS);
}

/*
 * Summaries take them to other data centres; the headers of reports repeat
 * them.
 */
static void
send_origins(at_gossip_t *gossip)
{
	summary_keep_own_origins(gossip);
	gossip_send_report(gossip, AT_REPORT_ORIGINS, REPORT_DIRECT, 0);
}

static void
on_origins_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_gossip_t *gossip = timer->data;

	(void)loop;
	(void)events;
	while ((gossip->origin_count = at_stream_origins_take_new(
		    gossip->deps.origins, gossip->origins, ORIGINS_MAX)) > 0)
		send_origins(gossip);
}

void
origins_init(at_gossip_t *gossip)
{
	ev_timer_init(&gossip->origins_timer, on_origins_timer, 0., 0.);
	gossip->origins_timer.data = gossip;
	gossip->started_us = at_clock_now_us();
	gossip->answers_wanted = START_ANSWERS;
	gossip->answers_wanted_until_us = gossip->started_us + ASKING_US;
}

void
at_gossip_send_origins_soon(at_gossip_t *gossip)
{
	uint32_t batch_ms = at_stream_origins_batch_ms(
	    at_roster_present_count(gossip->deps.roster));

	gossip_start_timer(
	    gossip, &gossip->origins_timer, (double)batch_ms / AT_MS_PER_S);
}

static void
note_version(void *ctx, at_server_t *server)
{
	at_stream_origins_t *origins = ctx;
	const at_server_entry_t *entry = at_server_entry(server);

	at_stream_origins_note_listed(
	    origins, entry->service, entry->software, at_clock_now_us());
}

void
at_gossip_note_versions(at_gossip_t *gossip)
{
	at_fleet_each(gossip->deps.fleet, note_version, gossip->deps.origins);
}

void
origins_add_due(at_gossip_t *gossip)
{
	gossip->origin_count = at_stream_origins_take_due(
	    gossip->deps.origins, gossip->origins, ORIGINS_MAX);
}

/* State of the choice of the instance that is asked. */
typedef struct search {
	at_rng_t *rng;
	uint64_t now_us;
	uint32_t count; /* reporting instances so far */
	const at_roster_member_t *found;
} search_t;

/* Draws one of the reporting instances. */
static void
consider_member(void *ctx, at_roster_member_t *member)
{
	search_t *search = ctx;

	if (member->reported_us == 0 || member->is_leaving ||
	    search->now_us - member->reported_us > AT_ROSTER_REPORT_TIMEOUT_US)
		return;
	search->count++;
	if (at_rng_next(search->rng) % search->count == 0)
		search->found = member;
}

static void
send_request(at_gossip_t *gossip, uint64_t now_us)
{
	search_t search = {.rng = gossip->deps.rng, .now_us = now_us};
	size_t len;

	gossip->requested_us = now_us;
	at_roster_each(gossip->deps.roster, consider_member, &search);
	if (search.found == NULL)
		return;
	len = report_encode(gossip, AT_REPORT_ORIGINS_REQUEST, NULL, NULL);
	if (len > 0)
		gossip_send_datagram(gossip, search.found, len);
}

void
origins_on_round(at_gossip_t *gossip, uint64_t now_us)
{
	at_gossip_note_versions(gossip);
	at_stream_origins_expire(gossip->deps.origins, now_us);
	if (now_us >= gossip->answers_wanted_until_us)
		gossip->answers_wanted = 0;
	if (gossip->answers_wanted > 0 &&
	    now_us >= gossip->requested_us + REQUEST_INTERVAL_US)
		send_request(gossip, now_us);
}

/*
 * An instance that was silent is asked for what it has noted meanwhile. If at
 * least half of them were, this one was out of contact itself, and asks one of
 * them for all origins: those that noted some may be gone.
 */
void
origins_on_member_back(
    at_gossip_t *gossip, const at_roster_member_t *member, uint64_t now_us)
{
	size_t len =
	    report_encode(gossip, AT_REPORT_OWN_ORIGINS_REQUEST, NULL, NULL);

	if (len > 0)
		gossip_send_datagram(gossip, member, len);
	if (now_us >= gossip->members_back_us + BACK_TOGETHER_US) {
		gossip->members_back = 0;
		gossip->members_back_us = now_us;
	}
	if (2 * ++gossip->members_back <
	    at_roster_present_count(gossip->deps.roster) - 1)
		return;
	gossip->was_out_of_contact = 1;
	gossip->answers_wanted = 1;
	gossip->answers_wanted_until_us = now_us + ASKING_US;
}

void
origins_apply(at_gossip_t *gossip, const Report *report, uint64_t now_us)
{
	at_stream_origins_t *origins = gossip->deps.origins;
	size_t i;
	size_t k;

	for (i = 0; i < report->n_origins; i++) {
		const ReportOrigins *version = report->origins[i];

		for (k = 0; k < version->n_streams; k++) {
			const at_stream_origin_t origin = {
			    version->streams[k], version->software};

			at_stream_origins_apply(origins, &origin, now_us);
		}
	}
	if (!report->origins_end || gossip->answers_wanted == 0)
		return;
	gossip->answers_wanted--;
	at_log(AT_LOG_INFO, "origins", NULL,
	    "origins of streams received streams=%zu answers_wanted=%u",
	    at_stream_origins_count(origins), gossip->answers_wanted);
}

/* An answer that is being sent. */
typedef struct answer {
	at_gossip_t *gossip;
	const at_roster_member_t *member;
} answer_t;

static void
send_part(const answer_t *answer)
{
	size_t len =
	    report_encode(answer->gossip, AT_REPORT_ORIGINS, NULL, NULL);

	if (len > 0)
		gossip_send_datagram(answer->gossip, answer->member, len);
	answer->gossip->origin_count = 0;
}

static void
add_to_answer(void *ctx, const at_stream_origin_t *origin)
{
	const answer_t *answer = ctx;
	at_gossip_t *gossip = answer->gossip;

	at_counters_add(
	    gossip->deps.counters, "origins_answered_total", NULL, NULL, 1);
	if (gossip->origin_count == ORIGINS_MAX)
		send_part(answer);
	gossip->origins[gossip->origin_count++] = *origin;
}

void
origins_answer(at_gossip_t *gossip, const at_roster_member_t *member,
    const Report *request)
{
	answer_t answer = {gossip, member};
	uint64_t age_ms = (at_clock_now_us() - gossip->started_us) / US_PER_MS;

	if (!request->wants_own_origins &&
	    age_ms < (uint64_t)request->age_ms + AGE_MARGIN_MS)
		return;
	at_stream_origins_each(gossip->deps.origins, request->wants_own_origins,
	    add_to_answer, &answer);
	gossip->is_origins_end = !request->wants_own_origins;
	send_part(&answer);
	gossip->is_origins_end = 0;
}

static void
notify(void *ctx, const at_attempt_event_t *event)
{
	at_gossip_t *gossip = ctx;

	if (event->kind != AT_ATTEMPT_EVENT_ORIGIN)
		return;
	at_stream_origins_note(gossip->deps.origins, event->stream,
	    event->software, at_clock_now_us());
	at_gossip_send_origins_soon(gossip);
}

at_attempt_observer_t
at_gossip_origins_observer(at_gossip_t *gossip)
{
	return (at_attempt_observer_t){notify, gossip};
}
