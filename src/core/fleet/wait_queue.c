/*
 * wait_queue.c - the queue of requests before the backend servers.
 *
 * In a burst more requests arrive for some seconds than can be processed on
 * time. Without an order, requests past their objective would take the slots of
 * those that can still meet it, and all would become late.
 */
#include "almondthread/wait_queue.h"
#include "almondthread/shed.h"

#include <stdlib.h>
#include <string.h>

#define NS_PER_US 1000u
/* Time until a requested model is resident. */
#define MODEL_LOAD_US 1000000u
/* Time until an adapter of a resident model is resident. */
#define ADAPTER_LOAD_US 60000u
/* Part of the remaining time that a request may wait. */
#define WAIT_PERCENT 75u
/*
 * The same in a shortage at a plain service, of the time until the objective
 * that the server leaves. Many wait as long as they may, as the queue is in
 * order of the time left, and the time at the servers varies by half.
 */
#define SHORTAGE_WAIT_PERCENT 50u
/* Time for a refusal to reach the caller. */
#define REFUSAL_MARGIN_US 150000u
/* Shortest retry time; an earlier retry would not be placed. */
#define RETRY_MIN_MS 50u
/* The retry time is spread by this, and by this part of it. */
#define SPREAD_MS 97u
#define SPREAD_PERCENT 25u
/* Longest retry time; callers that are told to wait longer do not return. */
#define RETRY_MAX_MS 5000u
/* Time between two looks at who waits to go on with a stream. */
#define HOLDS_INTERVAL_US 10000u
/* Kinds of work without a free slot that one pass can record. */
#define FULL_KINDS_MAX 32u
/* Workspaces that are told apart in the queue for one kind. */
#define WORKSPACES_MAX 32u

const char *const at_admission_names[] = {"placed", "waits", "refused"};

struct at_wait_queue {
	at_fleet_t *fleet;
	at_contention_t *contention;
	at_plain_rates_t *plain_rates;
	at_waiter_t *head; /* sorted by rank */
	at_waiter_t *tail;
	size_t count;
	uint64_t holds_us; /* when the holds were last set; 0: they changed */
};

/* Kinds of work for which one pass found no free slot. */
typedef struct full_kinds {
	at_work_t const *works[FULL_KINDS_MAX];
	size_t count;
} full_kinds_t;

at_wait_queue_t *
at_wait_queue_new(at_fleet_t *fleet, at_contention_t *contention)
{
	at_wait_queue_t *queue = calloc(1, sizeof(*queue));

	if (queue == NULL)
		return NULL;
	queue->fleet = fleet;
	queue->contention = contention;
	queue->plain_rates = at_plain_rates_new(at_contention_seed(contention));
	if (queue->plain_rates == NULL) {
		free(queue);
		return NULL;
	}
	return queue;
}

void
at_wait_queue_delete(at_wait_queue_t *queue)
{
	if (queue == NULL)
		return;
	at_plain_rates_delete(queue->plain_rates);
	free(queue);
}

static at_shed_request_t
shed_request(const at_waiter_t *waiter)
{
	const at_shed_request_t request = {.priority = waiter->priority,
	    .arrived_us = waiter->arrived_us,
	    .objective_us = waiter->objective_us,
	    .deadline_us = waiter->deadline_us,
	    .is_begun = waiter->work.is_resumption,
	    .is_surplus = waiter->is_surplus};

	return request;
}

static uint64_t
rank(const at_waiter_t *waiter)
{
	at_shed_request_t request = shed_request(waiter);

	return at_shed_rank(&request);
}

/* A stream that has begun has met its objective, or not, before it broke. */
static int
is_late(const at_waiter_t *waiter, uint64_t now_us)
{
	return !waiter->work.is_resumption && waiter->objective_us <= now_us;
}

static int
is_same_kind(const at_work_t *a, const at_work_t *b)
{
	return a->service == b->service && a->model == b->model &&
	       a->adapter == b->adapter && a->software == b->software &&
	       memcmp(a->regions, b->regions, sizeof(a->regions)) == 0;
}

static at_work_kind_t
kind_of(const at_work_t *work)
{
	const at_work_kind_t kind = {work->service, work->model,
	    work->is_resumption ? work->software : 0};

	return kind;
}

static int
is_kind(const at_work_kind_t *a, const at_work_kind_t *b)
{
	return a->service == b->service && a->model == b->model &&
	       a->software == b->software;
}

/*
 * Sums the requests in this queue for the same service and model; with ahead
 * set, only those ranked before this one.
 */
static at_queue_report_t
queued_like(const at_wait_queue_t *queue, const at_waiter_t *waiter, int ahead)
{
	at_queue_report_t entry = {.kind = kind_of(&waiter->work)};
	const at_waiter_t *other;

	for (other = queue->head; other != NULL; other = other->next) {
		at_work_kind_t kind = kind_of(&other->work);

		if (other == waiter || other->is_yielding ||
		    !is_kind(&kind, &entry.kind) ||
		    (ahead && rank(other) > rank(waiter)))
			continue;
		entry.requests++;
		entry.prompt_tokens += other->work.prompt_tokens;
	}
	return entry;
}

static at_service_time_t
mean_times(
    const at_wait_queue_t *queue, const at_waiter_t *waiter, uint64_t now_us)
{
	at_service_time_t time;

	at_service_times_get(at_fleet_service_times(queue->fleet),
	    waiter->work.service, 0, waiter->work.model, now_us, &time);
	return time;
}

/*
 * Returns the time until this number of requests has started. They wait for
 * prompts to be read and for batch slots, whichever takes longer.
 */
static uint64_t
start_delay_us(const at_wait_queue_t *queue, const at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t requests, uint64_t prompt_tokens,
    uint64_t now_us)
{
	/* An adapter can be loaded on any engine that has its model. */
	uint32_t engines =
	    choice->model_servers == 0 ? 1u : choice->model_servers;
	uint32_t batch_slots =
	    choice->batch_slots == 0 ? 1u : choice->batch_slots;
	const at_service_time_t time = mean_times(queue, waiter, now_us);
	uint64_t read_us =
	    prompt_tokens * time.prompt_token_ns / NS_PER_US / engines;
	uint64_t batch_us =
	    requests * waiter->work.output_tokens * time.token_us / batch_slots;

	if (waiter->work.model == 0)
		return requests * time.plain_us / batch_slots;
	return read_us > batch_us ? read_us : batch_us;
}

/*
 * Returns the expected time until this request starts, in microseconds. The
 * fraction of the requests at peers that are served before it is assumed to be
 * the same as here.
 */
static uint64_t
expected_wait_us(const at_wait_queue_t *queue, const at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	at_queue_report_t all = queued_like(queue, waiter, 0);
	at_queue_report_t ahead = queued_like(queue, waiter, 1);
	at_queue_total_t peers =
	    at_contention_peer_queues(queue->contention, &all.kind);
	uint64_t ahead_weight = ahead.requests + 1u;
	uint64_t total_weight = all.requests + 2u;

	return start_delay_us(queue, waiter, choice,
	    ahead.requests + 1u + peers.requests * ahead_weight / total_weight,
	    ahead.prompt_tokens +
		peers.prompt_tokens * ahead_weight / total_weight,
	    now_us);
}

static uint32_t
retry_after_ms(const at_waiter_t *waiter, uint64_t wait_us)
{
	/* Spreads the retries of requests that were refused together. */
	uint64_t ms = wait_us / 1000u;

	/* All of a long overload would otherwise return at the longest time. */
	if (ms > RETRY_MAX_MS * (100u - SPREAD_PERCENT) / 100u)
		ms = RETRY_MAX_MS * (100u - SPREAD_PERCENT) / 100u;
	ms += (waiter->arrived_us / 1000u) %
	      (SPREAD_MS + ms * SPREAD_PERCENT / 100u);
	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)ms;
}

/*
 * Returns how long a request may wait here so that a response still reaches its
 * caller.
 */
static uint64_t
max_wait_us(
    const at_wait_queue_t *queue, const at_waiter_t *waiter, uint64_t now_us)
{
	uint64_t own_us = (uint64_t)waiter->work.prompt_tokens *
			  mean_times(queue, waiter, now_us).prompt_token_ns /
			  NS_PER_US;
	uint64_t remaining_us =
	    waiter->deadline_us > now_us ? waiter->deadline_us - now_us : 0;
	uint64_t max_us = remaining_us * WAIT_PERCENT / 100u;
	uint64_t margin_us = own_us;

	if (waiter->first_event_limit_us != 0 &&
	    waiter->first_event_limit_us < waiter->deadline_us) {
		remaining_us = waiter->first_event_limit_us > now_us
				   ? waiter->first_event_limit_us - now_us
				   : 0;
		margin_us += REFUSAL_MARGIN_US;
	}
	if (remaining_us <= margin_us)
		return 0;
	return max_us < remaining_us - margin_us ? max_us
						 : remaining_us - margin_us;
}

static at_dispatch_candidate_t
dispatch_candidate(const at_wait_queue_t *queue, const at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	const at_dispatch_candidate_t candidate = {
	    .kind = kind_of(&waiter->work),
	    .on_time = !is_late(waiter, now_us),
	    .free_slots = choice->free_slots,
	    .queued_here = queued_like(queue, waiter, 0).requests + 1u};

	return candidate;
}

static at_plain_view_t
plain_view(const at_wait_queue_t *queue, const at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	at_queue_report_t here = queued_like(queue, waiter, 0);
	at_queue_total_t peers =
	    at_contention_peer_queues(queue->contention, &here.kind);
	at_service_time_t time;
	at_plain_view_t view = {.slots = choice->open_slots,
	    .active = choice->open_active,
	    .queued_here = here.requests + (uint32_t)(waiter->is_queued != 0),
	    .peers_queued = peers.requests,
	    .peers = peers.flow};

	at_service_times_get(at_fleet_service_times(queue->fleet),
	    waiter->work.service, 0, 0, now_us, &time);
	view.request_us = time.plain_us;
	return view;
}

/* Returns non-zero if a queued request for the service goes before this one. */
static int
is_behind_another(
    const at_wait_queue_t *queue, const at_waiter_t *waiter, uint64_t now_us)
{
	const at_waiter_t *other;

	for (other = queue->head; other != NULL && other != waiter;
	     other = other->next) {
		if (other->work.service == waiter->work.service &&
		    other->priority <= waiter->priority &&
		    !is_late(other, now_us) && rank(other) <= rank(waiter))
			return 1;
	}
	return 0;
}

/*
 * A request of a plain service ends before its load is reported; in a shortage
 * each instance sends a part of what it receives.
 */
static int
may_send_plain(at_wait_queue_t *queue, const at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	at_plain_view_t view = plain_view(queue, waiter, choice, now_us);

	if (!at_plain_rates_is_short(
		queue->plain_rates, waiter->work.service, &view, now_us))
		return 1;
	return (waiter->is_queued ||
		   !is_behind_another(queue, waiter, now_us)) &&
	       at_plain_rates_may_send(queue->plain_rates, waiter->work.service,
		   &view, waiter->priority, now_us);
}

/* Instances with queues for the same engines take turns. */
static int
may_dispatch(at_wait_queue_t *queue, const at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	at_dispatch_candidate_t candidate =
	    dispatch_candidate(queue, waiter, choice, now_us);

	if (waiter->work.model == 0)
		return may_send_plain(queue, waiter, choice, now_us);
	return at_contention_may_dispatch(
	    queue->contention, &candidate, now_us);
}

static void
note_dispatch(at_wait_queue_t *queue, at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	at_dispatch_candidate_t candidate =
	    dispatch_candidate(queue, waiter, choice, now_us);

	if (waiter->work.model != 0) {
		at_contention_note_dispatch(
		    queue->contention, &candidate, now_us);
		return;
	}
	waiter->is_counted = 0;
	at_plain_rates_note_sent(
	    queue->plain_rates, waiter->work.service, now_us);
}

/* An attempt is counted once, also if it is decided on again. */
static void
note_plain_arrival(at_wait_queue_t *queue, at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	at_plain_view_t view;

	if (waiter->work.model != 0 || waiter->is_counted)
		return;
	view = plain_view(queue, waiter, choice, now_us);
	at_plain_rates_note_arrival(queue->plain_rates, waiter->work.service,
	    &view, waiter->priority, now_us);
	waiter->is_counted = 1;
}

/*
 * Decides on a request for a plain service whose servers are short of slots:
 * it is refused if it would be late, as late ones take the slots of others.
 * Returns 0 if there is no shortage.
 */
static int
decide_in_shortage(at_wait_queue_t *queue, at_waiter_t *waiter, uint64_t now_us,
    at_admission_decision_t *decision)
{
	at_plain_view_t view =
	    plain_view(queue, waiter, &decision->choice, now_us);
	uint64_t served_us =
	    at_plain_rates_served_us(queue->plain_rates, waiter->work.service);
	uint64_t return_us;
	uint64_t latest_us;

	if (decision->choice_result != AT_CHOICE_SERVER &&
	    decision->choice_result != AT_CHOICE_FULL)
		return 0;
	if (!at_plain_rates_is_short(
		queue->plain_rates, waiter->work.service, &view, now_us))
		return 0;
	decision->is_short = 1;
	decision->wait_us =
	    at_plain_rates_wait_us(queue->plain_rates, waiter->work.service,
		&view, queued_like(queue, waiter, 1).requests, now_us);
	return_us = at_plain_rates_return_us(
	    queue->plain_rates, waiter->work.service, &view, now_us);
	decision->retry_after_ms = retry_after_ms(waiter,
	    return_us > decision->wait_us ? return_us : decision->wait_us);
	latest_us = waiter->objective_us > now_us + served_us
			? now_us + (waiter->objective_us - now_us - served_us) *
				       SHORTAGE_WAIT_PERCENT / 100u
			: now_us;
	if (latest_us < waiter->expires_us)
		waiter->expires_us = latest_us;
	decision->admission = now_us + decision->wait_us <= waiter->expires_us
				  ? AT_ADMISSION_QUEUED
				  : AT_ADMISSION_REFUSED;
	return 1;
}

typedef struct holds {
	at_hold_t list[AT_HOLDS_MAX];
	size_t count;
} holds_t;

static void
add_hold(holds_t *holds, const at_work_kind_t *kind, uint32_t priority)
{
	size_t i;

	for (i = 0; i < holds->count; i++) {
		at_hold_t *hold = &holds->list[i];

		if (hold->software != kind->software ||
		    hold->model != kind->model)
			continue;
		if (priority < hold->priority)
			hold->priority = priority;
		return;
	}
	if (i < AT_HOLDS_MAX)
		holds->list[holds->count++] =
		    (at_hold_t){kind->software, kind->model, priority};
}

static void
update_holds(at_wait_queue_t *queue, uint64_t now_us)
{
	holds_t holds = {.count = 0};
	const at_waiter_t *waiter;

	if (queue->holds_us != 0 &&
	    now_us < queue->holds_us + HOLDS_INTERVAL_US)
		return;
	queue->holds_us = now_us;
	for (waiter = queue->head; waiter != NULL; waiter = waiter->next) {
		at_work_kind_t kind = kind_of(&waiter->work);

		if (kind.software != 0)
			add_hold(&holds, &kind, waiter->work.priority);
	}
	at_fleet_set_holds(queue->fleet, holds.list, holds.count);
}

/*
 * Returns a queued request of the same kind that can no longer be on time and
 * whose refusal costs callers less than that of the one that arrives; NULL if
 * there is none.
 */
static at_waiter_t *
find_yielding(
    at_wait_queue_t *queue, const at_waiter_t *waiter, uint64_t now_us)
{
	at_work_kind_t kind = kind_of(&waiter->work);
	uint64_t token_ns = mean_times(queue, waiter, now_us).prompt_token_ns;
	at_shed_request_t arriving = shed_request(waiter);
	at_waiter_t *other;
	at_waiter_t *found = NULL;
	uint64_t found_cost = 0;

	arriving.work_us = waiter->work.prompt_tokens * token_ns / NS_PER_US;

	for (other = queue->head; other != NULL; other = other->next) {
		at_work_kind_t other_kind = kind_of(&other->work);
		at_shed_request_t queued = shed_request(other);
		uint64_t cost;

		queued.work_us =
		    other->work.prompt_tokens * token_ns / NS_PER_US;
		cost = at_shed_cost(&queued, now_us);
		if (!is_kind(&other_kind, &kind) || other->is_yielding ||
		    !at_shed_yields(&queued, now_us, &arriving, now_us) ||
		    (found != NULL && cost >= found_cost))
			continue;
		found = other;
		found_cost = cost;
	}
	return found;
}

/*
 * Refuses queued requests in favour of one that would be refused otherwise.
 * Returns the expected time until that one starts.
 */
static uint64_t
make_room(at_wait_queue_t *queue, at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t max_us, uint64_t now_us)
{
	uint64_t wait_us = expected_wait_us(queue, waiter, choice, now_us);
	at_waiter_t *other;

	while (wait_us > max_us) {
		other = find_yielding(queue, waiter, now_us);
		if (other == NULL)
			break;
		other->is_yielding = 1;
		wait_us = expected_wait_us(queue, waiter, choice, now_us);
	}
	for (other = queue->head; other != NULL; other = other->next) {
		if (!other->is_yielding || other->expires_us <= now_us)
			continue;
		/* It would make no difference. */
		if (wait_us > max_us)
			other->is_yielding = 0;
		else
			other->expires_us = now_us;
	}
	return wait_us;
}

void
at_wait_queue_decide(at_wait_queue_t *queue, at_waiter_t *waiter,
    uint64_t now_us, at_admission_decision_t *decision)
{
	uint64_t max_us = max_wait_us(queue, waiter, now_us);
	int has_expired =
	    waiter->expires_us != 0 && waiter->expires_us <= now_us;

	memset(decision, 0, sizeof(*decision));
	update_holds(queue, now_us);
	waiter->work.priority = waiter->priority;
	waiter->expires_us = now_us + max_us;
	waiter->is_yielding = 0;
	decision->choice_result = at_fleet_choose(
	    queue->fleet, &waiter->work, now_us, &decision->choice);
	note_plain_arrival(queue, waiter, &decision->choice, now_us);
	if (decision->choice_result == AT_CHOICE_SERVER &&
	    may_dispatch(queue, waiter, &decision->choice, now_us)) {
		note_dispatch(queue, waiter, &decision->choice, now_us);
		decision->admission = AT_ADMISSION_PLACED;
		return;
	}
	if (waiter->work.model == 0 &&
	    decide_in_shortage(queue, waiter, now_us, decision))
		return;
	decision->wait_us =
	    !has_expired && (decision->choice_result == AT_CHOICE_FULL ||
				decision->choice_result == AT_CHOICE_SERVER)
		? make_room(queue, waiter, &decision->choice, max_us, now_us)
		: expected_wait_us(queue, waiter, &decision->choice, now_us);
	if (decision->choice_result == AT_CHOICE_NOT_RESIDENT)
		decision->wait_us += decision->choice.model_servers > 0
					 ? ADAPTER_LOAD_US
					 : MODEL_LOAD_US;
	decision->wait_us += decision->choice.cold_us;
	decision->retry_after_ms = retry_after_ms(waiter, decision->wait_us);
	if (decision->choice_result == AT_CHOICE_PAUSED)
		decision->wait_us += decision->choice.closed_us;
	if (decision->choice_result == AT_CHOICE_LIMITED ||
	    decision->choice_result == AT_CHOICE_PAUSED)
		decision->retry_after_ms =
		    retry_after_ms(waiter, decision->choice.closed_us);
	decision->admission =
	    decision->choice_result != AT_CHOICE_NO_SERVER &&
		    decision->choice_result != AT_CHOICE_LIMITED &&
		    decision->wait_us <= max_us
		? AT_ADMISSION_QUEUED
		: AT_ADMISSION_REFUSED;
}

/* Compares the workspace's part of the queue for the same kind. */
static int
is_surplus(const at_wait_queue_t *queue, const at_waiter_t *waiter)
{
	at_work_kind_t kind = kind_of(&waiter->work);
	at_tag_t seen[WORKSPACES_MAX];
	uint32_t workspaces = 0;
	uint32_t own = 1;
	uint32_t all = 1;
	const at_waiter_t *other;
	uint32_t i;

	if (waiter->workspace == 0)
		return 0;
	seen[workspaces++] = waiter->workspace;
	for (other = queue->head; other != NULL; other = other->next) {
		at_work_kind_t other_kind = kind_of(&other->work);

		if (!is_kind(&other_kind, &kind))
			continue;
		all++;
		own += (uint32_t)(other->workspace == waiter->workspace);
		for (i = 0; i < workspaces; i++) {
			if (seen[i] == other->workspace)
				break;
		}
		if (i == workspaces && workspaces < WORKSPACES_MAX)
			seen[workspaces++] = other->workspace;
	}
	return at_shed_is_surplus(own, all, workspaces);
}

void
at_wait_queue_add(at_wait_queue_t *queue, at_waiter_t *waiter)
{
	at_waiter_t *before = queue->tail;

	waiter->is_surplus = is_surplus(queue, waiter);
	while (before != NULL && rank(before) > rank(waiter))
		before = before->prev;
	waiter->prev = before;
	waiter->next = before == NULL ? queue->head : before->next;
	if (waiter->next != NULL)
		waiter->next->prev = waiter;
	else
		queue->tail = waiter;
	if (before != NULL)
		before->next = waiter;
	else
		queue->head = waiter;
	waiter->is_queued = 1;
	queue->count++;
	if (waiter->work.is_resumption)
		queue->holds_us = 0;
}

void
at_wait_queue_remove(at_wait_queue_t *queue, at_waiter_t *waiter)
{
	if (!waiter->is_queued)
		return;
	if (waiter->prev != NULL)
		waiter->prev->next = waiter->next;
	else
		queue->head = waiter->next;
	if (waiter->next != NULL)
		waiter->next->prev = waiter->prev;
	else
		queue->tail = waiter->prev;
	waiter->is_queued = 0;
	queue->count--;
	if (waiter->work.is_resumption)
		queue->holds_us = 0;
}

void
at_wait_queue_note_ended(at_wait_queue_t *queue, const at_work_t *work,
    at_server_outcome_t outcome, uint64_t elapsed_us, uint64_t now_us)
{
	if (work->model != 0 ||
	    (outcome != AT_OUTCOME_SUCCESS && outcome != AT_OUTCOME_REFUSED))
		return;
	at_plain_rates_note_ended(queue->plain_rates, work->service,
	    outcome == AT_OUTCOME_REFUSED, elapsed_us, now_us);
}

static int
is_full(const full_kinds_t *full, const at_work_t *work)
{
	size_t i;

	for (i = 0; i < full->count; i++) {
		if (is_same_kind(full->works[i], work) &&
		    full->works[i]->has_slack <= work->has_slack)
			return 1;
	}
	return 0;
}

/* A request that avoids servers says nothing about others of its kind. */
static void
note_full(full_kinds_t *full, const at_work_t *work)
{
	size_t i;

	for (i = 0; i < AT_SITE_ATTEMPTS_MAX; i++) {
		if (work->avoid[i] != 0)
			return;
	}
	if (full->count < FULL_KINDS_MAX)
		full->works[full->count++] = work;
}

static at_waiter_t *
find_placeable(at_wait_queue_t *queue, int late, full_kinds_t *full,
    uint64_t now_us, at_choice_t *choice)
{
	at_waiter_t *waiter;
	at_choice_result_t result;

	for (waiter = queue->head; waiter != NULL; waiter = waiter->next) {
		if (is_late(waiter, now_us) != late || waiter->is_yielding ||
		    is_full(full, &waiter->work))
			continue;
		result = at_fleet_choose(
		    queue->fleet, &waiter->work, now_us, choice);
		if (result == AT_CHOICE_SERVER &&
		    may_dispatch(queue, waiter, choice, now_us))
			return waiter;
		/*
		 * Servers of a version that is replaced do not return, nor do
		 * evacuated ones soon.
		 */
		if (result == AT_CHOICE_LIMITED ||
		    (result == AT_CHOICE_NO_SERVER &&
			(waiter->work.software != 0 || choice->evacuated > 0 ||
			    choice->outside_regions > 0))) {
			waiter->expires_us = now_us;
			continue;
		}
		/* More urgent ones may be sent where this one may not. */
		if (result == AT_CHOICE_SERVER && waiter->work.model == 0 &&
		    waiter->priority > 0)
			continue;
		note_full(full, &waiter->work);
	}
	return NULL;
}

at_waiter_t *
at_wait_queue_take_placeable(
    at_wait_queue_t *queue, uint64_t now_us, at_choice_t *choice)
{
	full_kinds_t full = {.count = 0};
	at_waiter_t *waiter;

	if (queue->head == NULL)
		return NULL;
	update_holds(queue, now_us);
	waiter = find_placeable(queue, 0, &full, now_us, choice);
	if (waiter == NULL)
		waiter = find_placeable(queue, 1, &full, now_us, choice);
	if (waiter == NULL)
		return NULL;
	note_dispatch(queue, waiter, choice, now_us);
	at_wait_queue_remove(queue, waiter);
	return waiter;
}

at_waiter_t *
at_wait_queue_take_expired(at_wait_queue_t *queue, uint64_t now_us)
{
	at_waiter_t *waiter;

	for (waiter = queue->head; waiter != NULL; waiter = waiter->next) {
		if (waiter->expires_us > now_us)
			continue;
		at_wait_queue_remove(queue, waiter);
		return waiter;
	}
	return NULL;
}

uint64_t
at_wait_queue_due_us(const at_wait_queue_t *queue)
{
	const at_waiter_t *waiter;
	uint64_t due_us = AT_WAIT_QUEUE_NOT_DUE;

	for (waiter = queue->head; waiter != NULL; waiter = waiter->next) {
		if (waiter->expires_us < due_us)
			due_us = waiter->expires_us;
	}
	return due_us;
}

static at_queue_report_t *
find_or_add_entry(at_queue_report_t *entries, size_t *count, size_t max,
    const at_work_t *work)
{
	at_work_kind_t kind = kind_of(work);
	size_t i;

	for (i = 0; i < *count; i++) {
		if (is_kind(&entries[i].kind, &kind))
			return &entries[i];
	}
	if (*count == max)
		return NULL;
	memset(&entries[i], 0, sizeof(entries[i]));
	entries[i].kind = kind;
	(*count)++;
	return &entries[i];
}

size_t
at_wait_queue_fill_report(const at_wait_queue_t *queue,
    at_queue_report_t *entries, size_t max, uint64_t now_us)
{
	const at_waiter_t *waiter;
	at_work_t plain = {.service = 0};
	at_plain_flow_t flow;
	size_t next = 0;
	size_t count = 0;

	for (waiter = queue->head; waiter != NULL; waiter = waiter->next) {
		at_queue_report_t *entry =
		    find_or_add_entry(entries, &count, max, &waiter->work);

		if (entry == NULL)
			continue;
		entry->requests++;
		entry->on_time += (uint32_t)!is_late(waiter, now_us);
		entry->prompt_tokens += waiter->work.prompt_tokens;
	}
	while (at_plain_rates_next(
	    queue->plain_rates, &next, &plain.service, &flow, now_us)) {
		at_queue_report_t *entry =
		    find_or_add_entry(entries, &count, max, &plain);

		if (entry != NULL)
			entry->flow = flow;
	}
	return count;
}

size_t
at_wait_queue_count(const at_wait_queue_t *queue)
{
	return queue->count;
}

void
at_wait_queue_each(const at_wait_queue_t *queue,
    void (*visit)(void *ctx, const at_waiter_t *waiter), void *ctx)
{
	const at_waiter_t *waiter;

	for (waiter = queue->head; waiter != NULL; waiter = waiter->next)
		visit(ctx, waiter);
}
