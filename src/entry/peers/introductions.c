#include "entry/peers/introductions.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/introduction.h"
#include "almondthread/log.h"
#include "io/address.h"
#include "io/clock.h"

#define SEEDS_MAX 8u
#define INSTANCES_PER_REPORT 20u /* which fit a packet */

struct at_introductions {
	at_introductions_deps_t deps;
	at_introduction_t state;
	char seeds[SEEDS_MAX][AT_ADDR_SIZE];
	size_t seed_count;
};

at_introductions_t *
at_introductions_new(const at_introductions_deps_t *deps)
{
	at_introductions_t *introductions = calloc(1, sizeof(*introductions));

	if (introductions == NULL)
		return NULL;
	introductions->deps = *deps;
	at_introduction_init(
	    &introductions->state, at_clock_now_ms(), at_rng_next(deps->rng));
	return introductions;
}

void
at_introductions_delete(at_introductions_t *introductions)
{
	free(introductions);
}

/* Takes the host of a seed; all instances use the same port for reports. */
static at_code_t
add_seed(at_introductions_t *introductions, const char *text, size_t len,
    at_status_t *status)
{
	const char *own = introductions->deps.settings->peers;
	const char *colon = memchr(text, ':', len);
	char *seed = introductions->seeds[introductions->seed_count];
	struct sockaddr_in addr;

	if (colon != NULL)
		(void)snprintf(seed, AT_ADDR_SIZE, "%.*s%s",
		    (int)(colon - text), text, strrchr(own, ':'));
	if (colon == NULL || at_address_parse(seed, &addr) != 0)
		return at_status_set(status, AT_INVALID,
		    "--seeds: expected IP:PORT,..., not '%.*s'", (int)len,
		    text);
	introductions->seed_count += strcmp(seed, own) != 0;
	return AT_OK;
}

at_code_t
at_introductions_init(at_introductions_t *introductions, at_status_t *status)
{
	const char *text = introductions->deps.settings->seeds;

	while (*text != '\0' && introductions->seed_count < SEEDS_MAX) {
		size_t len = strcspn(text, ",");

		if (add_seed(introductions, text, len, status) != AT_OK)
			return status->code;
		text += len;
		text += *text == ',';
	}
	return AT_OK;
}

static void
fill_request(void *ctx, Report *report)
{
	(void)ctx;
	report->wants_instances = 1;
}

static void
begin_round(void *ctx, uint64_t now_us)
{
	at_introductions_t *introductions = ctx;
	const at_introductions_deps_t *deps = &introductions->deps;
	size_t i;

	if (introductions->seed_count == 0 || deps->is_listed(deps->ctx) ||
	    !at_introduction_is_due(&introductions->state, at_clock_now_ms(),
		at_rng_next(deps->rng)))
		return;
	at_log(AT_LOG_INFO, "join", NULL,
	    "platform does not list the instances; asking seeds seeds=%zu "
	    "asked=%u reporting=%u",
	    introductions->seed_count, introductions->state.asked,
	    at_roster_reporting_count(deps->roster, now_us));
	for (i = 0; i < introductions->seed_count; i++)
		at_gossip_send_named_to(
		    deps->gossip, introductions->seeds[i], fill_request, NULL);
	at_counters_add(
	    deps->counters, "introductions_total", "way", "asked", 1);
}

/* Instances that an answer names; they are sent a few at a time. */
typedef struct answer {
	at_introductions_t *introductions;
	const at_roster_member_t *to;
	uint64_t now_us;
	size_t count;
	ReportInstance instances[INSTANCES_PER_REPORT];
	ReportInstance *list[INSTANCES_PER_REPORT];
} answer_t;

static void
fill_answer(void *ctx, Report *report)
{
	answer_t *answer = ctx;

	report->n_instances = answer->count;
	report->instances = answer->list;
}

static void
send_answer(answer_t *answer)
{
	at_gossip_send_named_to(answer->introductions->deps.gossip,
	    answer->to->address, fill_answer, answer);
	answer->count = 0;
}

/* One that leaves may be the last that has the configuration. */
static void
add_instance(void *ctx, at_roster_member_t *member)
{
	answer_t *answer = ctx;
	ReportInstance *instance = &answer->instances[answer->count];

	if (member == answer->to || member->reported_us == 0 ||
	    answer->now_us - member->reported_us > AT_ROSTER_REPORT_TIMEOUT_US)
		return;
	report_instance__init(instance);
	instance->name = member->name.text;
	instance->data_centre = member->data_centre;
	instance->address = member->address;
	answer->list[answer->count++] = instance;
	if (answer->count == INSTANCES_PER_REPORT)
		send_answer(answer);
}

static void
answer_request(at_introductions_t *introductions, const at_roster_member_t *to)
{
	const at_introductions_deps_t *deps = &introductions->deps;
	answer_t answer = {.introductions = introductions,
	    .to = to,
	    .now_us = at_clock_now_us()};

	if (!at_introduction_may_answer(
		&introductions->state, at_clock_now_ms())) {
		at_counters_add(deps->counters, "introductions_total", "way",
		    "left_out", 1);
		return;
	}
	at_roster_each(deps->roster, add_instance, &answer);
	if (answer.count > 0)
		send_answer(&answer);
	at_counters_add(
	    deps->counters, "introductions_total", "way", "answered", 1);
}

static void
take_answer(at_introductions_t *introductions, const at_roster_member_t *from,
    const Report *report)
{
	const at_introductions_deps_t *deps = &introductions->deps;
	size_t added = 0;
	size_t i;

	for (i = 0; i < report->n_instances; i++) {
		const ReportInstance *instance = report->instances[i];
		struct sockaddr_in addr;
		at_name_t name;

		if (at_name_set(&name, instance->name) != 0 ||
		    at_address_parse(instance->address, &addr) != 0 ||
		    at_roster_find(deps->roster, at_tag_from_text(name.text)) !=
			NULL)
			continue;
		added +=
		    at_roster_add(deps->roster, &name, instance->data_centre,
			instance->address, at_clock_now_us()) != NULL;
	}
	if (added == 0)
		return;
	at_log(AT_LOG_INFO, "join", NULL,
	    "instances learned from another one instance=%s added=%zu",
	    from->name.text, added);
	at_counters_add(
	    deps->counters, "introductions_total", "way", "learned", added);
	at_gossip_send_soon(deps->gossip);
}

static void
apply(void *ctx, at_roster_member_t *member, const Report *report)
{
	if (report->wants_instances)
		answer_request(ctx, member);
	if (report->n_instances > 0)
		take_answer(ctx, member, report);
}

at_report_section_t
at_introductions_section(at_introductions_t *introductions)
{
	return (at_report_section_t){
	    .apply = apply, .begin_round = begin_round, .ctx = introductions};
}
