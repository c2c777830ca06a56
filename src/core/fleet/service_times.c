/*
 * service_times.c - learns how fast each backend server is.
 *
 * It is designed for servers of one service that differ by a factor of two and
 * more, each of which is slower at times, with so many instances that one sees
 * a given server once in ten seconds. The plentiful observation is the time
 * between two events of a stream. It is divided by the usual time of the
 * model, which is learned over all servers, and then counts for the server.
 *
 * Two windows are kept of each server. The long one follows its lasting speed;
 * in it an observation far from the estimate counts as a limited change, since
 * a spell of slowness says little about the time after it. The recent one
 * follows a change within a second: in it observations lose weight by the time
 * before the newest one. When none come any more because the server is avoided,
 * it loses its weight in some seconds, and the server is tried again.
 */
#include "almondthread/service_times.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* Priors; engines of the first deployments read 29 prompt tokens in 1 ms. */
#define PROMPT_TOKEN_NS 40000u
#define TOKEN_US 7000u
#define PLAIN_US 50000u
/* Deviation of a value that rests on no observation. */
#define PRIOR_ERROR_PERCENT 100u
/* Deviation of a single observation, and the least of any value. */
#define OBSERVATION_ERROR_PERCENT 60.f
#define ERROR_MIN_PERCENT 5.f

/* Time constants of the windows. */
#define LONG_US 20000000.f
#define RECENT_US 500000.f
/* The same of the recent window after the newest observation of any instance.
 */
#define UNSEEN_US 2000000.f
/* Time constant of the times of models and services. */
#define KIND_US 60000000.f
/* After this many time constants a weight counts as gone. */
#define DECAYED_CONSTANTS 8.f
/* Weight, in observations, of the mean of the service in a long window. */
#define LONG_PRIOR 10.f
/* Weight of the long window's estimate in the recent one. */
#define RECENT_PRIOR 10.f
/* Observations of a model after which those of its servers count half. */
#define KIND_PRIOR 12.f
/* Weight of the priors of a prompt token and a plain request. */
#define TIME_PRIOR 4.f
/* The same of the time of a token, in tokens. */
#define TOKEN_PRIOR 500.f
/* In a long window an observation is at most this far from the estimate. */
#define OUTLIER_RATIO 2.f
/* Limits of a ratio of an observed to a usual time. */
#define RATIO_MIN 0.05f
#define RATIO_MAX 20.f
/* Factors that differ from the mean by less are taken as equal to it. */
#define EQUAL_PART 0.08f
/* The same of a recent change; a recent window has fewer observations. */
#define UNCHANGED_PART 0.25f
/* Most that a slow gap weighs more in a recent window than a usual one. */
#define RECENT_WEIGHT_MAX 4.f
/* A plain request counts as this number of observations. */
#define PLAIN_COUNT 2u
/* Prompts below this are read in the time of a few steps. */
#define PROMPT_MIN_TOKENS 1000u
/* Limits of what is believed of a prompt token. */
#define PROMPT_TOKEN_MIN_NS 2000.f
#define PROMPT_TOKEN_MAX_NS 1000000.f
/* A factor is computed anew after this time, a service's mean after twice. */
#define FACTOR_VALID_US 100000u
#define MEAN_VALID_US 200000u
/* Gaps of a stream are observed after this time, if there are MIN_GAPS. */
#define GAPS_SPAN_US 250000u
#define MIN_GAPS 3u
#define PEERS 32u    /* reports kept of one server */
#define KINDS 64u    /* models whose times are kept */
#define SERVICES 32u /* services whose means are kept */

/* Weighted means, as of a time. */
typedef struct window {
	float long_weight;
	float long_ratio;
	float recent_weight;
	float recent_ratio;
	uint64_t us;
} window_t;

typedef struct peer_window {
	at_tag_t instance; /* or a data centre; 0: unused */
	window_t window;
} peer_window_t;

/* A value with the weight of what it rests on. */
typedef struct estimate {
	float value;
	float weight;
	uint64_t us;
} estimate_t;

/* A model of a service. */
typedef struct kind {
	at_tag_t service; /* 0: unused */
	at_tag_t model;
	estimate_t event_us;
	estimate_t token_us;
} kind_t;

typedef struct service {
	at_tag_t tag;
	estimate_t prompt_token_ns;
	estimate_t plain_us;
	float mean;       /* of the servers' ratios */
	uint64_t mean_us; /* when it was computed; 0: never */
} service_t;

struct at_speed {
	at_tag_t server;
	at_service_times_t *times;
	service_t *service; /* NULL: there are too many */
	window_t own;
	uint64_t observed_us; /* by this instance; 0: never */
	uint64_t newest_us;   /* by any instance */
	peer_window_t peers[PEERS];
	/* Computed from the above at computed_us; 0: to be computed. */
	uint64_t computed_us;
	float weight; /* of all long windows */
	float lasting_ratio;
	float lasting_factor;
	float factor;
	UT_hash_handle hh;
};

struct at_service_times {
	at_speed_t *speeds;
	kind_t kinds[KINDS];
	service_t services[SERVICES];
	size_t service_count;
};

at_service_times_t *
at_service_times_new(void)
{
	return calloc(1, sizeof(at_service_times_t));
}

void
at_service_times_delete(at_service_times_t *times)
{
	at_speed_t *speed;
	at_speed_t *next;

	if (times == NULL)
		return;
	HASH_ITER(hh, times->speeds, speed, next)
	{
		HASH_DEL(times->speeds, speed);
		free(speed);
	}
	free(times);
}

static float
decayed(float weight, uint64_t since_us, uint64_t now_us, float constant_us)
{
	if (weight <= 0.f || now_us <= since_us)
		return weight;
	if ((float)(now_us - since_us) > DECAYED_CONSTANTS * constant_us)
		return 0.f;
	return weight * expf(-(float)(now_us - since_us) / constant_us);
}

static float
clamp(float value, float min, float max)
{
	if (value < min)
		return min;
	return value > max ? max : value;
}

static window_t
window_at(const window_t *window, uint64_t now_us)
{
	window_t at = *window;

	at.long_weight =
	    decayed(window->long_weight, window->us, now_us, LONG_US);
	at.recent_weight =
	    decayed(window->recent_weight, window->us, now_us, RECENT_US);
	at.us = now_us;
	return at;
}

static void
add_mean(float *weight, float *mean, float added_weight, float added)
{
	if (added_weight <= 0.f)
		return;
	*mean =
	    (*mean * *weight + added * added_weight) / (*weight + added_weight);
	*weight += added_weight;
}

static void
window_add(window_t *sum, const window_t *window, uint64_t now_us)
{
	const window_t at = window_at(window, now_us);

	add_mean(
	    &sum->long_weight, &sum->long_ratio, at.long_weight, at.long_ratio);
	add_mean(&sum->recent_weight, &sum->recent_ratio, at.recent_weight,
	    at.recent_ratio);
}

static void
estimate_add(estimate_t *estimate, float value, float weight, uint64_t now_us)
{
	estimate->weight =
	    decayed(estimate->weight, estimate->us, now_us, KIND_US);
	estimate->us = now_us;
	add_mean(&estimate->weight, &estimate->value, weight, value);
}

static uint64_t
estimate_get(const estimate_t *estimate, float prior, float prior_weight)
{
	float weight = estimate->weight;
	float value = estimate->value;

	add_mean(&weight, &value, prior_weight, prior);
	return (uint64_t)value;
}

static service_t *
find_or_add_service(at_service_times_t *times, at_tag_t tag)
{
	size_t i;

	for (i = 0; i < times->service_count; i++) {
		if (times->services[i].tag == tag)
			return &times->services[i];
	}
	if (i == SERVICES)
		return NULL;
	times->service_count++;
	times->services[i].tag = tag;
	times->services[i].mean = 1.f;
	return &times->services[i];
}

static const kind_t *
find_kind(const at_service_times_t *times, at_tag_t service, at_tag_t model)
{
	size_t i;

	for (i = 0; i < KINDS; i++) {
		if (times->kinds[i].model == model &&
		    times->kinds[i].service == service)
			return &times->kinds[i];
	}
	return NULL;
}

/* Returns the entry of a model; a new one replaces the longest unused. */
static kind_t *
find_or_add_kind(at_service_times_t *times, at_tag_t service, at_tag_t model)
{
	kind_t *oldest = &times->kinds[0];
	size_t i;

	for (i = 0; i < KINDS; i++) {
		kind_t *kind = &times->kinds[i];

		if (kind->model == model && kind->service == service)
			return kind;
		if (kind->event_us.us < oldest->event_us.us)
			oldest = kind;
	}
	memset(oldest, 0, sizeof(*oldest));
	oldest->service = service;
	oldest->model = model;
	return oldest;
}

at_speed_t *
at_service_times_add(
    at_service_times_t *times, at_tag_t service, at_tag_t server)
{
	at_speed_t *speed = calloc(1, sizeof(*speed));

	if (speed == NULL)
		return NULL;
	speed->server = server;
	speed->times = times;
	speed->service = find_or_add_service(times, service);
	at_speed_reset(speed);
	HASH_ADD(hh, times->speeds, server, sizeof(server), speed);
	return speed;
}

void
at_service_times_remove(at_service_times_t *times, at_speed_t *speed)
{
	if (speed == NULL)
		return;
	HASH_DEL(times->speeds, speed);
	free(speed);
}

void
at_speed_reset(at_speed_t *speed)
{
	if (speed == NULL)
		return;
	memset(&speed->own, 0, sizeof(speed->own));
	memset(speed->peers, 0, sizeof(speed->peers));
	speed->observed_us = 0;
	speed->newest_us = 0;
	speed->computed_us = 0;
	speed->weight = 0.f;
	speed->lasting_ratio = 1.f;
	speed->lasting_factor = 1.f;
	speed->factor = 1.f;
}

/*
 * The factors are relative to the mean over the servers, as all ratios may
 * have drifted together with the usual times of the models.
 */
static void
update_service(
    const at_service_times_t *times, service_t *service, uint64_t now_us)
{
	const at_speed_t *speed;
	float weight = 0.f;
	float mean = 1.f;

	if (service->mean_us != 0 && now_us < service->mean_us + MEAN_VALID_US)
		return;
	service->mean_us = now_us == 0 ? 1u : now_us;
	for (speed = times->speeds; speed != NULL; speed = speed->hh.next) {
		float known = speed->weight / (speed->weight + LONG_PRIOR);

		if (speed->service != service)
			continue;
		add_mean(&weight, &mean, known, speed->lasting_ratio);
	}
	service->mean = mean;
}

static void
compute_factor(at_speed_t *speed, uint64_t now_us)
{
	float mean = speed->service == NULL ? 1.f : speed->service->mean;
	window_t sum = {0};
	float current;
	uint64_t newest_us =
	    speed->newest_us < now_us ? speed->newest_us : now_us;
	size_t i;

	if (speed->computed_us != 0 &&
	    now_us < speed->computed_us + FACTOR_VALID_US)
		return;
	speed->computed_us = now_us == 0 ? 1u : now_us;
	window_add(&sum, &speed->own, newest_us);
	for (i = 0; i < PEERS; i++) {
		if (speed->peers[i].instance != 0)
			window_add(&sum, &speed->peers[i].window, newest_us);
	}
	sum.long_weight = decayed(sum.long_weight, newest_us, now_us, LONG_US);
	sum.recent_weight =
	    decayed(sum.recent_weight, newest_us, now_us, UNSEEN_US);
	speed->weight = sum.long_weight;
	add_mean(&sum.long_weight, &sum.long_ratio, LONG_PRIOR, mean);
	speed->lasting_ratio = sum.long_ratio;
	speed->lasting_factor = sum.long_ratio / mean;
	add_mean(&sum.recent_weight, &sum.recent_ratio, RECENT_PRIOR,
	    sum.long_ratio);
	current = sum.recent_ratio / mean;
	if (fabsf(sum.recent_ratio / sum.long_ratio - 1.f) < UNCHANGED_PART)
		current = speed->lasting_factor;
	if (fabsf(current - 1.f) < EQUAL_PART)
		current = 1.f;
	speed->factor = clamp(current, RATIO_MIN, RATIO_MAX);
}

static void
update_factor(at_speed_t *speed, uint64_t now_us)
{
	if (speed->service != NULL)
		update_service(speed->times, speed->service, now_us);
	compute_factor(speed, now_us);
}

uint32_t
at_speed_factor_milli(at_speed_t *speed, uint64_t now_us)
{
	if (speed == NULL)
		return AT_FACTOR_MEAN_MILLI;
	update_factor(speed, now_us);
	return (uint32_t)(speed->factor * AT_FACTOR_MEAN_MILLI);
}

uint32_t
at_speed_lasting_milli(at_speed_t *speed, uint64_t now_us)
{
	if (speed == NULL)
		return AT_FACTOR_MEAN_MILLI;
	update_factor(speed, now_us);
	return (uint32_t)(speed->lasting_factor * AT_FACTOR_MEAN_MILLI);
}

/* Counts the ratio of an observed to a usual time for a server. */
static void
note_ratio(at_speed_t *speed, float ratio, float weight, int has_recent,
    uint64_t now_us)
{
	float lasting = speed->lasting_ratio;

	ratio = clamp(ratio, RATIO_MIN, RATIO_MAX);
	speed->own = window_at(&speed->own, now_us);
	add_mean(&speed->own.long_weight, &speed->own.long_ratio, weight,
	    clamp(ratio, lasting / OUTLIER_RATIO, lasting * OUTLIER_RATIO));
	/* A gap counts by the time it took: a slow server makes fewer of them.
	 */
	if (has_recent)
		add_mean(&speed->own.recent_weight, &speed->own.recent_ratio,
		    weight * clamp(ratio / lasting, 1.f / RECENT_WEIGHT_MAX,
				 RECENT_WEIGHT_MAX),
		    ratio);
	speed->observed_us = now_us;
	speed->newest_us = now_us;
	speed->computed_us = 0;
}

/*
 * Takes a time of a server and what it says of the mean server. While the usual
 * time rests on few observations, they say little of the server.
 */
static void
note_time(at_speed_t *speed, estimate_t *usual, float observed, uint32_t count,
    int has_recent, uint64_t now_us)
{
	float mean_server = observed / speed->lasting_factor;

	update_factor(speed, now_us);
	if (usual->weight > 0.f && usual->value > 0.f) {
		float known =
		    decayed(usual->weight, usual->us, now_us, KIND_US);

		note_ratio(speed, observed / usual->value,
		    (float)count * known / (known + KIND_PRIOR), has_recent,
		    now_us);
		if (known >= KIND_PRIOR)
			mean_server =
			    clamp(mean_server, usual->value / OUTLIER_RATIO,
				usual->value * OUTLIER_RATIO);
	}
	estimate_add(usual, mean_server, (float)count, now_us);
}

void
at_speed_note_events(at_speed_t *speed, at_tag_t model, uint32_t count,
    uint32_t usual_us, uint64_t now_us)
{
	if (speed == NULL || speed->service == NULL || count == 0 ||
	    usual_us == 0)
		return;
	note_time(speed,
	    &find_or_add_kind(speed->times, speed->service->tag, model)
		 ->event_us,
	    (float)usual_us, count, 1, now_us);
}

void
at_speed_note_plain(at_speed_t *speed, uint64_t run_us, uint64_t now_us)
{
	if (speed == NULL || speed->service == NULL || run_us == 0)
		return;
	/* Single requests differ too much for a change within a second. */
	note_time(speed, &speed->service->plain_us, (float)run_us, PLAIN_COUNT,
	    0, now_us);
}

/* A long stream says more, as a ratio of sums would. */
void
at_speed_note_stream(at_speed_t *speed, at_tag_t model, uint32_t tokens,
    uint64_t run_us, uint64_t now_us)
{
	if (speed == NULL || speed->service == NULL || tokens == 0)
		return;
	estimate_add(&find_or_add_kind(speed->times, speed->service->tag, model)
			  ->token_us,
	    (float)run_us / (float)tokens / speed->lasting_factor,
	    (float)tokens, now_us);
}

void
at_speed_note_prompt(
    at_speed_t *speed, uint32_t tokens, uint64_t read_us, uint64_t now_us)
{
	float ns;

	if (speed == NULL || speed->service == NULL ||
	    tokens < PROMPT_MIN_TOKENS)
		return;
	ns = (float)read_us * 1000.f / (float)tokens / speed->lasting_factor;
	estimate_add(&speed->service->prompt_token_ns,
	    clamp(ns, PROMPT_TOKEN_MIN_NS, PROMPT_TOKEN_MAX_NS), 1.f, now_us);
}

static uint32_t
error_percent(float weight)
{
	float error = OBSERVATION_ERROR_PERCENT / sqrtf(weight);

	return (uint32_t)clamp(
	    error, ERROR_MIN_PERCENT, (float)PRIOR_ERROR_PERCENT);
}

static uint64_t
age(uint64_t since_us, uint64_t now_us)
{
	return now_us > since_us ? now_us - since_us : 0;
}

static void
set_certainty(
    at_service_time_t *time, float weight, uint64_t us, uint64_t now_us)
{
	if (weight <= 0.f)
		return;
	time->error_percent = error_percent(weight);
	time->age_us = age(us, now_us);
}

/* Writes the mean over the servers of a service. */
static void
get_mean(const at_service_times_t *times, const service_t *service,
    at_tag_t model, uint64_t now_us, at_service_time_t *time)
{
	const kind_t *kind = find_kind(times, service->tag, model);
	const estimate_t *plain = &service->plain_us;

	time->prompt_token_ns = estimate_get(
	    &service->prompt_token_ns, PROMPT_TOKEN_NS, TIME_PRIOR);
	time->plain_us = estimate_get(plain, PLAIN_US, TIME_PRIOR);
	if (model == 0)
		set_certainty(time,
		    decayed(plain->weight, plain->us, now_us, KIND_US),
		    plain->us, now_us);
	if (model == 0 || kind == NULL)
		return;
	time->token_us = estimate_get(&kind->token_us, TOKEN_US, TOKEN_PRIOR);
	time->event_us = estimate_get(&kind->event_us, 0.f, 0.f);
	set_certainty(time,
	    decayed(kind->event_us.weight, kind->event_us.us, now_us, KIND_US),
	    kind->event_us.us, now_us);
}

void
at_service_times_get(const at_service_times_t *times, at_tag_t service,
    at_tag_t server, at_tag_t model, uint64_t now_us, at_service_time_t *time)
{
	at_speed_t *speed = NULL;
	size_t i;

	memset(time, 0, sizeof(*time));
	time->prompt_token_ns = PROMPT_TOKEN_NS;
	time->token_us = TOKEN_US;
	time->plain_us = PLAIN_US;
	time->factor_milli = AT_FACTOR_MEAN_MILLI;
	time->error_percent = PRIOR_ERROR_PERCENT;
	time->age_us = AT_SERVICE_TIME_NO_AGE;
	for (i = 0; i < times->service_count; i++) {
		if (times->services[i].tag == service)
			get_mean(
			    times, &times->services[i], model, now_us, time);
	}
	if (server != 0)
		HASH_FIND(hh, times->speeds, &server, sizeof(server), speed);
	if (speed == NULL)
		return;
	time->factor_milli = at_speed_factor_milli(speed, now_us);
	time->prompt_token_ns =
	    time->prompt_token_ns * time->factor_milli / AT_FACTOR_MEAN_MILLI;
	time->token_us =
	    time->token_us * time->factor_milli / AT_FACTOR_MEAN_MILLI;
	time->event_us =
	    time->event_us * time->factor_milli / AT_FACTOR_MEAN_MILLI;
	time->plain_us =
	    time->plain_us * time->factor_milli / AT_FACTOR_MEAN_MILLI;
	if (speed->newest_us != 0)
		set_certainty(
		    time, speed->weight + LONG_PRIOR, speed->newest_us, now_us);
}

void
at_event_gaps_reset(at_event_gaps_t *gaps)
{
	memset(gaps, 0, sizeof(*gaps));
}

static void
sort(uint32_t *values, uint32_t count)
{
	uint32_t i;
	uint32_t k;

	for (i = 1; i < count; i++) {
		uint32_t value = values[i];

		for (k = i; k > 0 && values[k - 1] > value; k--)
			values[k] = values[k - 1];
		values[k] = value;
	}
}

/* Without the longest third, and without the shortest of five or more. */
static uint32_t
usual_gap(uint32_t *gaps_us, uint32_t count)
{
	uint32_t first = count >= 5 ? 1u : 0u;
	uint32_t end = count - count / 3u;
	uint64_t sum = 0;
	uint32_t i;

	sort(gaps_us, count);
	for (i = first; i < end; i++)
		sum += gaps_us[i];
	return end > first ? (uint32_t)(sum / (end - first)) : 0;
}

uint32_t
at_event_gaps_add(at_event_gaps_t *gaps, uint64_t now_us, uint32_t *usual_us)
{
	uint64_t gap = gaps->last_us == 0 ? 0 : now_us - gaps->last_us;
	uint32_t count;

	if (gaps->last_us == 0) {
		gaps->last_us = now_us;
		gaps->begin_us = now_us;
		return 0;
	}
	gaps->last_us = now_us;
	gaps->gaps_us[gaps->count++] =
	    gap > UINT32_MAX ? UINT32_MAX : (uint32_t)gap;
	count = gaps->count;
	if (count < MIN_GAPS ||
	    (count < AT_EVENT_GAPS && now_us < gaps->begin_us + GAPS_SPAN_US))
		return 0;
	*usual_us = usual_gap(gaps->gaps_us, count);
	gaps->count = 0;
	gaps->begin_us = now_us;
	return count;
}

/*
 * A report has, from the lowest bit, the weight and the ratio of the long
 * window and those of the recent one, as logarithms: weights from 0 to 6,200,
 * ratios in steps of 0.7 percent.
 */
#define WEIGHT_BITS 6u
#define WEIGHT_MAX 63u
#define WEIGHT_STEPS 5.f /* for each doubling of the weight plus 1 */
#define RATIO_BITS 10u
#define RATIO_CODE_MAX 1023u
#define RATIO_ZERO 512.f  /* a ratio of 1 */
#define RATIO_STEPS 100.f /* for each doubling */

static uint32_t
pack(float weight, float ratio)
{
	float weight_code = roundf(WEIGHT_STEPS * log2f(1.f + weight));
	float ratio_code = RATIO_ZERO;

	if (ratio > 0.f)
		ratio_code += roundf(RATIO_STEPS * log2f(ratio));
	return (uint32_t)clamp(weight_code, 0.f, WEIGHT_MAX) |
	       (uint32_t)clamp(ratio_code, 0.f, RATIO_CODE_MAX) << WEIGHT_BITS;
}

static float
unpack(uint32_t code, float *ratio)
{
	*ratio = exp2f(
	    ((float)((code >> WEIGHT_BITS) & RATIO_CODE_MAX) - RATIO_ZERO) /
	    RATIO_STEPS);
	return exp2f((float)(code & WEIGHT_MAX) / WEIGHT_STEPS) - 1.f;
}

static uint32_t
pack_window(const window_t *window)
{
	return pack(window->long_weight, window->long_ratio) |
	       pack(window->recent_weight, window->recent_ratio)
		   << (WEIGHT_BITS + RATIO_BITS);
}

uint32_t
at_speed_report(const at_speed_t *speed, uint64_t now_us)
{
	window_t own;

	if (speed == NULL || speed->observed_us == 0 ||
	    now_us > speed->observed_us + AT_SPEED_REPORTED_US)
		return 0;
	own = window_at(&speed->own, now_us);
	return pack_window(&own);
}

/* Returns the entry of an instance; a new one replaces the least weight. */
static peer_window_t *
find_peer(at_speed_t *speed, at_tag_t instance, uint64_t now_us)
{
	peer_window_t *least = &speed->peers[0];
	float least_weight = INFINITY;
	size_t i;

	for (i = 0; i < PEERS; i++) {
		if (speed->peers[i].instance == instance ||
		    speed->peers[i].instance == 0)
			return &speed->peers[i];
	}
	for (i = 0; i < PEERS; i++) {
		const window_t *window = &speed->peers[i].window;
		float weight =
		    decayed(window->long_weight, window->us, now_us, LONG_US);

		if (weight >= least_weight)
			continue;
		least = &speed->peers[i];
		least_weight = weight;
	}
	return least;
}

void
at_speed_apply(
    at_speed_t *speed, at_tag_t instance, uint32_t report, uint64_t now_us)
{
	peer_window_t *peer;

	if (speed == NULL || report == 0)
		return;
	peer = find_peer(speed, instance, now_us);
	peer->instance = instance;
	peer->window.us = now_us;
	peer->window.long_weight = unpack(report, &peer->window.long_ratio);
	peer->window.recent_weight = unpack(
	    report >> (WEIGHT_BITS + RATIO_BITS), &peer->window.recent_ratio);
	speed->newest_us = now_us;
}

uint32_t
at_speed_sum(const at_speed_t *speed,
    int (*is_member)(void *ctx, at_tag_t instance), void *ctx, uint64_t now_us)
{
	window_t sum = {0};
	int is_recent = 0;
	size_t i;

	if (speed == NULL)
		return 0;
	is_recent = speed->observed_us != 0 &&
		    now_us <= speed->observed_us + AT_SPEED_REPORTED_US;
	window_add(&sum, &speed->own, now_us);
	for (i = 0; i < PEERS; i++) {
		const peer_window_t *peer = &speed->peers[i];

		if (peer->instance == 0 || !is_member(ctx, peer->instance))
			continue;
		is_recent |= now_us <= peer->window.us + AT_SPEED_REPORTED_US;
		window_add(&sum, &peer->window, now_us);
	}
	return is_recent ? pack_window(&sum) : 0;
}
