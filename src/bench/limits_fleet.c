#include "bench/limits_fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/limits_events.h"
#include "io/share_codec.h"

#define LOCAL_DELAY_MS 1u  /* one way, in a data centre */
#define REMOTE_DELAY_MS 2u /* one way, between data centres */
#define STORE_CALL_MS 4u   /* a call to the object API with its response */
#define ADMISSION_WAIT_MAX_MS 100u /* of a request that needs a loan */
#define SKEW_PERIOD_MS 10000u /* until skewed callers use another instance */
#define PROMPT_MIN_TOKENS 50u
#define PROMPT_RANGE_TOKENS 600u
#define OUTPUT_MAX_TOKENS 512u
#define TOKEN_INTERVAL_MS 35u /* between two output tokens */
#define MS_PER_S 1000.0
#define FRAME_OVERHEAD_BYTES 60u /* header, authentication tag, TCP/IP */

const char *const fleet_policy_names[] = {"central", "rate/N", "shares"};

typedef struct fleet fleet_t;

/* A simulated instance. */
typedef struct instance {
	fleet_t *fleet;
	uint32_t index;
	uint32_t data_centre;
	int is_alive;
	at_incarnation_t self;
	at_share_root_t *root;
	struct workspace_state { /* the limit of one workspace here */
		struct instance *instance;
		uint32_t workspace;
		at_share_t *share;
		at_bucket_t *even_split;
	} states[FLEET_WORKSPACES_MAX];
	uint64_t messages; /* sent and received */
	uint64_t bytes;    /* of these messages */
} instance_t;

/* A request and its debit under each policy. */
typedef struct request {
	uint32_t workspace;
	instance_t *instance;
	uint64_t arrived_ms;
	uint64_t cost_tokens; /* reserved: prompt and longest output */
	uint64_t used_tokens; /* prompt and output */
	uint64_t duration_ms;
	int is_centrally_admitted;
	at_debit_t *debits[FLEET_POLICY_COUNT];
} request_t;

/* A message between instances that has not arrived. */
typedef struct delivery {
	struct instance *from;
	struct instance *to;
	uint32_t workspace;
	at_share_message_t message;
} delivery_t;

/* A call to the object API that is in flight. */
typedef struct store_call {
	int is_put;
	uint64_t expected_version;
	char *value;
	size_t len;
	at_store_done_t done;
	void *ctx;
} store_call_t;

struct fleet {
	const fleet_setup_t *setup;
	fleet_result_t *result;
	at_rng_t rng;
	uint64_t now_ms;
	event_queue_t queue;
	instance_t *instances;
	at_bucket_t *central[FLEET_WORKSPACES_MAX];
	usage_record_t usage[FLEET_POLICY_COUNT][FLEET_WORKSPACES_MAX];
	char *table; /* the only object, with the table of shares */
	size_t table_len;
	uint64_t table_version;
	uint64_t store_calls;
};

/* Returns a random number greater than 0 and less than 1. */
static double
random_fraction(fleet_t *fleet)
{
	return ((double)(at_rng_next(&fleet->rng) >> 11) + 1) /
	       9007199254740993.0; /* 2^53 + 1 */
}

/* Returns non-zero after the warm-up. */
static int
is_measured(const fleet_t *fleet)
{
	return fleet->now_ms >= fleet->setup->warm_up_ms;
}

/* Returns non-zero if a fault at at_ms after the warm-up has begun. */
static int
has_fault_begun(const fleet_t *fleet, uint32_t at_ms)
{
	return at_ms != 0 && fleet->now_ms >= fleet->setup->warm_up_ms + at_ms;
}

/* Returns non-zero if no message can pass between two instances. */
static int
is_partitioned(const fleet_t *fleet, const instance_t *a, const instance_t *b)
{
	return has_fault_begun(fleet, fleet->setup->partition_at_ms) &&
	       a->data_centre != b->data_centre &&
	       (a->data_centre == 0 || b->data_centre == 0);
}

static void
count_message(fleet_t *fleet, instance_t *instance, size_t bytes)
{
	if (!is_measured(fleet))
		return;
	instance->messages++;
	instance->bytes += bytes;
}

/* Sends a message, which arrives after the delay of the network. */
static void
on_send(
    void *ctx, const at_incarnation_t *to, const at_share_message_t *message)
{
	struct workspace_state *state = ctx;
	instance_t *from = state->instance;
	fleet_t *fleet = from->fleet;
	delivery_t *delivery = calloc(1, sizeof(*delivery));
	uint8_t bytes[AT_SHARE_BYTES_MAX];
	at_name_t name;
	size_t len;

	(void)at_name_set(&name, "workspace");
	delivery->from = from;
	delivery->to = &fleet->instances[to->number - 1];
	delivery->workspace = state->workspace;
	delivery->message = *message;
	len = at_share_pack(&name, message, bytes) + FRAME_OVERHEAD_BYTES;
	count_message(fleet, from, len);
	count_message(fleet, delivery->to, len);
	event_queue_push(&fleet->queue,
	    fleet->now_ms + (from->data_centre == delivery->to->data_centre
				    ? LOCAL_DELAY_MS
				    : REMOTE_DELAY_MS),
	    EVENT_DELIVERY, 0, delivery);
}

static void
deliver(fleet_t *fleet, delivery_t *delivery)
{
	if (delivery->to->is_alive &&
	    !is_partitioned(fleet, delivery->from, delivery->to))
		(void)at_share_receive(
		    delivery->to->states[delivery->workspace].share,
		    fleet->now_ms, &delivery->from->self, &delivery->message);
	free(delivery);
}

static void
start_call(instance_t *instance, store_call_t *call)
{
	instance->fleet->store_calls += (uint64_t)is_measured(instance->fleet);
	event_queue_push(&instance->fleet->queue,
	    instance->fleet->now_ms + STORE_CALL_MS, EVENT_STORE_CALL,
	    instance->index, call);
}

static void
store_get(void *impl, const char *name, at_store_done_t done, void *ctx)
{
	store_call_t *call = calloc(1, sizeof(*call));

	(void)name;
	call->done = done;
	call->ctx = ctx;
	start_call(impl, call);
}

static void
store_put(void *impl, const char *name, uint64_t expected_version,
    const void *value, size_t len, at_store_done_t done, void *ctx)
{
	store_call_t *call = calloc(1, sizeof(*call));

	(void)name;
	call->is_put = 1;
	call->expected_version = expected_version;
	call->value = malloc(len);
	memcpy(call->value, value, len);
	call->len = len;
	call->done = done;
	call->ctx = ctx;
	start_call(impl, call);
}

/* Executes a call to the object API and returns its result. */
static void
complete_call(fleet_t *fleet, instance_t *instance, store_call_t *call)
{
	at_store_result_t result = {.code = AT_STORE_OK};

	if (has_fault_begun(fleet, fleet->setup->platform_away_at_ms) ||
	    (has_fault_begun(fleet, fleet->setup->partition_at_ms) &&
		instance->data_centre == 0)) {
		result.code = AT_STORE_NOT_SENT;
	} else if (!call->is_put) {
		result.code = fleet->table_version == 0 ? AT_STORE_NOT_FOUND
							: AT_STORE_OK;
	} else if (call->expected_version != fleet->table_version) {
		result.code = AT_STORE_CONFLICT;
	} else {
		free(fleet->table);
		fleet->table = call->value;
		fleet->table_len = call->len;
		call->value = NULL;
		fleet->table_version++;
	}
	result.version = fleet->table_version;
	result.value = fleet->table;
	result.value_len = fleet->table_len;
	if (instance->is_alive)
		call->done(call->ctx, &result);
	free(call->value);
	free(call);
}

static void
on_root_changed(
    void *ctx, int64_t floor_ppb, int64_t lease_ppb, uint64_t expires_ms)
{
	instance_t *instance = ctx;
	uint32_t w;

	for (w = 0; w < instance->fleet->setup->workspaces; w++)
		at_share_set_root(instance->states[w].share,
		    instance->fleet->now_ms, floor_ppb, lease_ppb, expires_ms);
}

static void
tick_instance(fleet_t *fleet, instance_t *instance)
{
	int64_t lent_ppb = 0;
	uint32_t w;

	if (!instance->is_alive)
		return;
	for (w = 0; w < fleet->setup->workspaces; w++) {
		at_share_t *share = instance->states[w].share;

		at_share_tick(share, fleet->now_ms);
		if (at_share_lent_ppb(share) > lent_ppb)
			lent_ppb = at_share_lent_ppb(share);
	}
	at_share_root_tick(instance->root, fleet->now_ms, lent_ppb);
	event_queue_push(&fleet->queue, fleet->now_ms + AT_SHARE_TICK_MS,
	    EVENT_TICK, instance->index, NULL);
}

/* Returns a workspace's rate: the total is divided in proportion to 1/rank. */
static uint64_t
workspace_rate(const fleet_setup_t *setup, uint32_t workspace)
{
	double sum = 0;
	uint32_t w;

	for (w = 0; w < setup->workspaces; w++)
		sum += 1.0 / (w + 1);
	return (
	    uint64_t)((double)setup->total_tokens_s / (workspace + 1) / sum);
}

/*
 * Returns the coordinator of a workspace in a data centre. Consecutive
 * workspaces have different coordinators.
 */
static instance_t *
find_coordinator(fleet_t *fleet, uint32_t data_centre, uint32_t workspace)
{
	uint32_t per_data_centre = (fleet->setup->instances - data_centre - 1) /
				       fleet->setup->data_centres +
				   1;

	return &fleet->instances[data_centre + workspace % per_data_centre *
						   fleet->setup->data_centres];
}

static void
init_workspace_state(fleet_t *fleet, instance_t *instance, uint32_t w)
{
	struct workspace_state *state = &instance->states[w];
	const at_share_port_t port = {on_send, NULL, state};
	uint64_t rate = workspace_rate(fleet->setup, w);
	at_incarnation_t remote_coordinators[FLEET_DATA_CENTRES_MAX];
	size_t count = 0;
	uint32_t c;

	state->instance = instance;
	state->workspace = w;
	state->share = at_share_new(0, &instance->self, &port);
	at_share_set_limit(state->share, 0, rate, rate * fleet->setup->burst_s);
	at_share_set_coordinator(state->share, 0,
	    &find_coordinator(fleet, instance->data_centre, w)->self);
	for (c = 0; c < fleet->setup->data_centres; c++) {
		if (c != instance->data_centre)
			remote_coordinators[count++] =
			    find_coordinator(fleet, c, w)->self;
	}
	at_share_set_remote_coordinators(
	    state->share, remote_coordinators, count);
	state->even_split = at_bucket_new(0);
	at_bucket_set_limit(
	    state->even_split, rate, rate * fleet->setup->burst_s);
	at_bucket_set_share(
	    state->even_split, AT_PPB_WHOLE / (int64_t)fleet->setup->instances);
}

static void
init_instance(fleet_t *fleet, instance_t *instance)
{
	const at_store_t store = {store_get, store_put, NULL, NULL, instance};
	uint32_t w;

	instance->is_alive = 1;
	for (w = 0; w < fleet->setup->workspaces; w++)
		init_workspace_state(fleet, instance, w);
	instance->root = at_share_root_new(0, &instance->self, &store);
	at_share_root_set_changed(instance->root, on_root_changed, instance);
	at_share_root_set_floor(instance->root, fleet->setup->floor_ppb);
	at_share_root_set_instance_counts(instance->root,
	    fleet->setup->instances, fleet->setup->data_centres);
	at_share_root_set_lease_holder(
	    instance->root, instance->index < fleet->setup->data_centres);
	event_queue_push(&fleet->queue,
	    at_rng_below(&fleet->rng, AT_SHARE_TICK_MS), EVENT_TICK,
	    instance->index, NULL);
}

static void
init_fleet(fleet_t *fleet)
{
	uint32_t i;

	fleet->instances = calloc(fleet->setup->instances, sizeof(instance_t));
	for (i = 0; i < fleet->setup->instances; i++) {
		fleet->instances[i].fleet = fleet;
		fleet->instances[i].index = i;
		fleet->instances[i].data_centre =
		    i % fleet->setup->data_centres;
		fleet->instances[i].self.number = i + 1;
		(void)at_name_set(&fleet->instances[i].self.instance, "i");
	}
	for (i = 0; i < fleet->setup->instances; i++)
		init_instance(fleet, &fleet->instances[i]);
	for (i = 0; i < fleet->setup->workspaces; i++) {
		uint64_t rate = workspace_rate(fleet->setup, i);

		fleet->result->rates_tokens_s[i] = rate;
		fleet->central[i] = at_bucket_new(0);
		at_bucket_set_limit(
		    fleet->central[i], rate, rate * fleet->setup->burst_s);
		at_bucket_set_share(fleet->central[i], AT_PPB_WHOLE);
		event_queue_push(&fleet->queue, at_rng_below(&fleet->rng, 1000),
		    EVENT_ARRIVAL, i, NULL);
	}
}

static void
note_admitted(fleet_t *fleet, request_t *request, fleet_policy_t policy)
{
	fleet_count_t *count =
	    &fleet->result->counts[policy][request->workspace];

	usage_record_add(&fleet->usage[policy][request->workspace],
	    fleet->now_ms, request->used_tokens);
	if (!is_measured(fleet))
		return;
	count->admitted++;
	count->admitted_tokens += (double)request->used_tokens;
	count->waited += request->arrived_ms != fleet->now_ms;
	if (has_fault_begun(fleet, fleet->setup->partition_at_ms) &&
	    request->instance->data_centre == 0)
		count->partition_tokens += (double)request->used_tokens;
}

static void
note_refused(fleet_t *fleet, const request_t *request, fleet_policy_t policy)
{
	if (is_measured(fleet) && request->is_centrally_admitted)
		fleet->result->counts[policy][request->workspace]
		    .wrongful_refusals++;
}

/*
 * Admits a request, or tries again in 1 ms until it has waited for
 * ADMISSION_WAIT_MAX_MS.
 */
static void
admit_by_shares(fleet_t *fleet, request_t *request)
{
	at_debit_t **debit = &request->debits[FLEET_SHARES];

	if (!request->instance->is_alive)
		return;
	if (at_share_admit(request->instance->states[request->workspace].share,
		fleet->now_ms, request->cost_tokens, debit) == AT_ADMIT_OK)
		note_admitted(fleet, request, FLEET_SHARES);
	else if (fleet->now_ms < request->arrived_ms + ADMISSION_WAIT_MAX_MS)
		event_queue_push(
		    &fleet->queue, fleet->now_ms + 1, EVENT_RETRY, 0, request);
	else
		note_refused(fleet, request, FLEET_SHARES);
}

/* Returns the instance at which a request arrives. */
static instance_t *
pick_instance(fleet_t *fleet, uint32_t workspace)
{
	uint64_t n = fleet->setup->instances;
	uint64_t pick = at_rng_below(&fleet->rng, n);

	if (fleet->setup->arrival == FLEET_SKEWED)
		pick = (fleet->now_ms / SKEW_PERIOD_MS * 7 + workspace * 3) % n;
	if (!fleet->instances[pick].is_alive)
		pick = (pick + 1) % n;
	return &fleet->instances[pick];
}

static void
schedule_arrival(fleet_t *fleet, uint32_t workspace)
{
	uint32_t load_pct = fleet->setup->load_pct;
	double mean_tokens = PROMPT_MIN_TOKENS + PROMPT_RANGE_TOKENS / 2.0 +
			     OUTPUT_MAX_TOKENS / 2.0;
	double arrivals_per_ms;

	if (workspace == 0 && fleet->setup->greedy_pct != 0)
		load_pct = fleet->setup->greedy_pct;
	arrivals_per_ms = (double)fleet->result->rates_tokens_s[workspace] *
			  load_pct / 100.0 / mean_tokens / MS_PER_S;
	event_queue_push(&fleet->queue,
	    fleet->now_ms + (uint64_t)llround(
				-log(random_fraction(fleet)) / arrivals_per_ms),
	    EVENT_ARRIVAL, workspace, NULL);
}

/* Gives one request to all policies and schedules the next one. */
static void
process_arrival(fleet_t *fleet, uint32_t workspace)
{
	request_t *request = calloc(1, sizeof(*request));
	uint64_t prompt_tokens =
	    PROMPT_MIN_TOKENS + at_rng_below(&fleet->rng, PROMPT_RANGE_TOKENS);
	uint64_t output_tokens =
	    at_rng_below(&fleet->rng, OUTPUT_MAX_TOKENS + 1);
	at_bucket_t *even_split;
	fleet_policy_t p;

	request->workspace = workspace;
	request->instance = pick_instance(fleet, workspace);
	request->arrived_ms = fleet->now_ms;
	request->cost_tokens = prompt_tokens + OUTPUT_MAX_TOKENS;
	request->used_tokens = prompt_tokens + output_tokens;
	request->duration_ms =
	    output_tokens * TOKEN_INTERVAL_MS + ADMISSION_WAIT_MAX_MS + 1;
	for (p = 0; is_measured(fleet) && p < FLEET_POLICY_COUNT; p++) {
		fleet->result->counts[p][workspace].requests++;
		fleet->result->counts[p][workspace].requested_tokens +=
		    (double)request->used_tokens;
	}
	at_bucket_advance(fleet->central[workspace], fleet->now_ms);
	request->debits[FLEET_CENTRAL] =
	    at_bucket_debit(fleet->central[workspace], request->cost_tokens);
	request->is_centrally_admitted = request->debits[FLEET_CENTRAL] != NULL;
	if (request->is_centrally_admitted)
		note_admitted(fleet, request, FLEET_CENTRAL);
	even_split = request->instance->states[workspace].even_split;
	at_bucket_advance(even_split, fleet->now_ms);
	request->debits[FLEET_EVEN_SPLIT] =
	    at_bucket_debit(even_split, request->cost_tokens);
	if (request->debits[FLEET_EVEN_SPLIT] != NULL)
		note_admitted(fleet, request, FLEET_EVEN_SPLIT);
	else
		note_refused(fleet, request, FLEET_EVEN_SPLIT);
	admit_by_shares(fleet, request);
	event_queue_push(&fleet->queue, fleet->now_ms + request->duration_ms,
	    EVENT_REQUEST_END, 0, request);
	schedule_arrival(fleet, workspace);
}

static void
end_request(fleet_t *fleet, request_t *request)
{
	struct workspace_state *state =
	    &request->instance->states[request->workspace];

	at_bucket_advance(fleet->central[request->workspace], fleet->now_ms);
	at_bucket_advance(state->even_split, fleet->now_ms);
	if (request->debits[FLEET_CENTRAL] != NULL)
		(void)at_bucket_settle(fleet->central[request->workspace],
		    request->debits[FLEET_CENTRAL], request->used_tokens);
	if (request->debits[FLEET_EVEN_SPLIT] != NULL)
		(void)at_bucket_settle(state->even_split,
		    request->debits[FLEET_EVEN_SPLIT], request->used_tokens);
	if (request->debits[FLEET_SHARES] != NULL &&
	    request->instance->is_alive)
		at_share_settle(state->share, fleet->now_ms,
		    request->debits[FLEET_SHARES], request->used_tokens);
	free(request);
}

static void
handle_event(fleet_t *fleet, const event_t *event)
{
	switch (event->kind) {
	case EVENT_ARRIVAL:
		process_arrival(fleet, event->index);
		return;
	case EVENT_RETRY:
		admit_by_shares(fleet, event->data);
		return;
	case EVENT_REQUEST_END:
		end_request(fleet, event->data);
		return;
	case EVENT_DELIVERY:
		deliver(fleet, event->data);
		return;
	case EVENT_STORE_CALL:
		complete_call(
		    fleet, &fleet->instances[event->index], event->data);
		return;
	default:
		tick_instance(fleet, &fleet->instances[event->index]);
		return;
	}
}

static void
summarize(fleet_t *fleet)
{
	double run_s = fleet->setup->run_ms / MS_PER_S;
	fleet_result_t *result = fleet->result;
	uint32_t i;
	uint32_t p;

	for (p = 0; p < FLEET_POLICY_COUNT; p++) {
		for (i = 0; i < fleet->setup->workspaces; i++)
			result->counts[p][i].excess_tokens =
			    usage_record_excess(&fleet->usage[p][i],
				(double)result->rates_tokens_s[i],
				(double)result->rates_tokens_s[i] *
				    fleet->setup->burst_s);
	}
	for (i = 0; i < fleet->setup->instances; i++) {
		double messages = (double)fleet->instances[i].messages / run_s;
		double bytes = (double)fleet->instances[i].bytes / run_s;

		result->messages_per_s += messages / fleet->setup->instances;
		result->bytes_per_s += bytes / fleet->setup->instances;
		result->max_messages_per_s =
		    fmax(result->max_messages_per_s, messages);
		result->max_bytes_per_s = fmax(result->max_bytes_per_s, bytes);
	}
	result->platform_calls_per_s = (double)fleet->store_calls / run_s;
}

static void
free_fleet(fleet_t *fleet)
{
	uint32_t i;
	uint32_t w;

	while (fleet->queue.count > 0) {
		event_t event = event_queue_pop(&fleet->queue);

		if (event.kind == EVENT_STORE_CALL)
			free(((store_call_t *)event.data)->value);
		/* Requests are freed with their EVENT_REQUEST_END. */
		if (event.kind != EVENT_RETRY)
			free(event.data);
	}
	for (w = 0; w < fleet->setup->workspaces; w++) {
		for (i = 0; i < fleet->setup->instances; i++) {
			at_share_delete(fleet->instances[i].states[w].share);
			at_bucket_delete(
			    fleet->instances[i].states[w].even_split);
		}
		at_bucket_delete(fleet->central[w]);
		for (i = 0; i < FLEET_POLICY_COUNT; i++) {
			free(fleet->usage[i][w].at_ms);
			free(fleet->usage[i][w].used_tokens);
		}
	}
	for (i = 0; i < fleet->setup->instances; i++)
		at_share_root_delete(fleet->instances[i].root);
	free(fleet->instances);
	free(fleet->queue.events);
	free(fleet->table);
}

void
fleet_run(const fleet_setup_t *setup, fleet_result_t *result)
{
	fleet_t fleet = {.setup = setup, .result = result};
	uint64_t end_ms = setup->warm_up_ms + (uint64_t)setup->run_ms;

	memset(result, 0, sizeof(*result));
	fleet.rng.state = setup->seed;
	init_fleet(&fleet);
	while (fleet.queue.count > 0 && fleet.queue.events[0].at_ms < end_ms) {
		event_t event = event_queue_pop(&fleet.queue);

		fleet.now_ms = event.at_ms;
		if (has_fault_begun(&fleet, setup->crash_at_ms))
			fleet.instances[setup->instances - 1].is_alive = 0;
		handle_event(&fleet, &event);
	}
	summarize(&fleet);
	free_fleet(&fleet);
}
