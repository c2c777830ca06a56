/*
 * Tests of the wait queue: which requests are queued, in which order they are
 * placed, and which are refused.
 */
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/wait_queue.h"

#define MS 1000u /* microseconds in a millisecond */
#define SLOTS 2u

static const at_fleet_secret_t secret = {.bytes = {1}};

static at_fleet_t *
make_fleet(int with_engine)
{
	at_fleet_t *fleet = at_fleet_new(at_tag_from_text("north"), 1);
	at_site_t *site = at_site_new(&secret);
	at_site_service_t *llm = at_site_add_service(site);
	at_server_entry_t entry = {.tag = at_tag_from_text("one"),
	    .service = at_tag_from_text("llm"),
	    .slots = SLOTS,
	    .residents.count = 1};

	llm->tag = at_tag_from_text("llm");
	llm->has_models = 1;
	llm->slots = SLOTS;
	llm->kv_tokens = 100000;
	at_fleet_set_site(fleet, site);
	at_site_unref(site);
	entry.residents.models[0].tag = at_tag_from_text("m");
	if (with_engine)
		(void)at_fleet_update_server(fleet, &entry);
	return fleet;
}

static at_contention_t *contention;

static at_wait_queue_t *
make_queue(at_fleet_t *fleet)
{
	contention = at_contention_new(1);
	return at_wait_queue_new(fleet, contention);
}

static void
free_queue(at_wait_queue_t *queue)
{
	at_wait_queue_delete(queue);
	at_contention_delete(contention);
}

static at_waiter_t
make_waiter(uint64_t objective_ms, uint64_t deadline_ms, uint32_t priority)
{
	at_waiter_t waiter = {.work = {.service = at_tag_from_text("llm"),
				  .model = at_tag_from_text("m"),
				  .prompt_tokens = 800,
				  .output_tokens = 100},
	    .priority = priority,
	    .objective_us = objective_ms * MS,
	    .deadline_us = deadline_ms * MS};

	return waiter;
}

static void
fill_slots(at_fleet_t *fleet)
{
	const at_load_report_t report = {
	    at_tag_from_text("one"), {.active = SLOTS}};

	at_fleet_apply_report(fleet, at_tag_from_text("peer"), &report, 1, 0);
}

static void
empty_slots(at_fleet_t *fleet)
{
	at_fleet_apply_report(fleet, at_tag_from_text("peer"), NULL, 0, 0);
}

/* Which of two queued requests is placed when a slot is free at 1,000 ms. */
static const struct {
	const char *name;
	uint64_t objective_ms[2];
	uint32_t priority[2];
	int placed;
} order_cases[] = {
    {"less time until the objective", {1400, 1200}, {0, 0}, 1},
    {"late requests come last", {900, 1900}, {0, 0}, 1},
    {"priority counts as time", {1400, 1300}, {0, 2}, 0},
    {"priority outweighs a shorter objective", {2800, 1400}, {0, 1}, 0},
    {"but not before a much shorter objective", {3500, 1400}, {0, 1}, 1},
    {"the older of two late ones", {700, 800}, {0, 0}, 0},
};

Test(wait_queue, places_the_most_urgent_request_first)
{
	size_t i;

	for (i = 0; i < sizeof(order_cases) / sizeof(order_cases[0]); i++) {
		at_fleet_t *fleet = make_fleet(1);
		at_wait_queue_t *queue = make_queue(fleet);
		at_waiter_t w[2];
		at_choice_t choice;
		int k;

		fill_slots(fleet);
		for (k = 0; k < 2; k++) {
			w[k] = make_waiter(order_cases[i].objective_ms[k],
			    20000, order_cases[i].priority[k]);
			at_wait_queue_add(queue, &w[k]);
		}
		cr_assert_null(
		    at_wait_queue_take_placeable(queue, 1000 * MS, &choice));
		empty_slots(fleet);
		cr_assert_eq(
		    at_wait_queue_take_placeable(queue, 1000 * MS, &choice),
		    &w[order_cases[i].placed], "%s", order_cases[i].name);
		free_queue(queue);
		at_fleet_delete(fleet);
	}
}

static const struct {
	const char *name;
	int with_engine;
	int is_full;
	uint64_t deadline_ms;
	unsigned ahead; /* requests that are queued already */
	at_admission_t admission;
} admissions[] = {
    {"a slot is free", 1, 0, 10000, 0, AT_ADMISSION_PLACED},
    {"a slot soon", 1, 1, 10000, 0, AT_ADMISSION_QUEUED},
    {"too many requests ahead", 1, 1, 10000, 200, AT_ADMISSION_REFUSED},
    {"too little time", 1, 1, 50, 0, AT_ADMISSION_REFUSED},
    {"no server of the service", 0, 0, 10000, 0, AT_ADMISSION_REFUSED},
};

Test(wait_queue, refuses_at_once_if_it_cannot_be_on_time)
{
	static at_waiter_t queued[256];
	size_t i;

	for (i = 0; i < sizeof(admissions) / sizeof(admissions[0]); i++) {
		at_fleet_t *fleet = make_fleet(admissions[i].with_engine);
		at_wait_queue_t *queue = make_queue(fleet);
		at_waiter_t waiter =
		    make_waiter(400, admissions[i].deadline_ms, 0);
		at_admission_decision_t decision;
		unsigned k;

		if (admissions[i].is_full)
			fill_slots(fleet);
		for (k = 0; k < admissions[i].ahead; k++) {
			queued[k] = make_waiter(300, 20000, 0);
			at_wait_queue_add(queue, &queued[k]);
		}
		at_wait_queue_decide(queue, &waiter, 0, &decision);
		cr_assert_eq(decision.admission, admissions[i].admission,
		    "%s: %s", admissions[i].name,
		    at_admission_names[decision.admission]);
		if (decision.admission == AT_ADMISSION_REFUSED)
			cr_assert_gt(decision.retry_after_ms, 0);
		free_queue(queue);
		at_fleet_delete(fleet);
	}
}

Test(wait_queue, expires_in_time_for_a_retry_elsewhere)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_waiter_t waiter = make_waiter(400, 10000, 0);
	at_admission_decision_t decision;

	fill_slots(fleet);
	at_wait_queue_decide(queue, &waiter, 0, &decision);
	at_wait_queue_add(queue, &waiter);
	cr_assert_null(at_wait_queue_take_expired(queue, 0));
	cr_assert_lt(at_wait_queue_due_us(queue), 10000 * MS);
	cr_assert_eq(
	    at_wait_queue_take_expired(queue, at_wait_queue_due_us(queue)),
	    &waiter);
	cr_assert_eq(at_wait_queue_count(queue), 0);
	free_queue(queue);
	at_fleet_delete(fleet);
}

/* A caller that has not received an event leaves long before its deadline. */
Test(wait_queue, expires_before_the_caller_leaves)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_waiter_t waiter = make_waiter(400, 12000, 0);
	at_admission_decision_t decision;

	waiter.first_event_limit_us = 2400 * MS;
	fill_slots(fleet);
	at_wait_queue_decide(queue, &waiter, 0, &decision);
	cr_assert_eq(decision.admission, AT_ADMISSION_QUEUED);
	at_wait_queue_add(queue, &waiter);
	cr_assert_lt(at_wait_queue_due_us(queue), 2400 * MS);
	cr_assert_gt(at_wait_queue_due_us(queue), 1500 * MS);
	at_wait_queue_remove(queue, &waiter);
	free_queue(queue);
	at_fleet_delete(fleet);
}

/* Queues of peers for another model do not delay a request. */
Test(wait_queue, counts_only_queues_for_the_same_model)
{
	const struct {
		const char *model;
		at_admission_t admission;
	} cases[] = {
	    {"other", AT_ADMISSION_QUEUED}, {"m", AT_ADMISSION_REFUSED}};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		at_fleet_t *fleet = make_fleet(1);
		at_wait_queue_t *queue = make_queue(fleet);
		at_waiter_t waiter = make_waiter(400, 3000, 0);
		const at_queue_report_t report = {
		    {at_tag_from_text("llm"), at_tag_from_text(cases[i].model),
			0},
		    100, 100, 80000, 0, 0, {0, 0}};
		at_admission_decision_t decision;

		fill_slots(fleet);
		at_contention_apply_report(
		    contention, at_tag_from_text("peer"), &report, 1, 0);
		at_wait_queue_decide(queue, &waiter, 0, &decision);
		cr_assert_eq(decision.admission, cases[i].admission, "%s: %s",
		    cases[i].model, at_admission_names[decision.admission]);
		free_queue(queue);
		at_fleet_delete(fleet);
	}
}

/*
 * A queue for a model that is resident on many engines does not cause requests
 * for an adapter of it to be refused that is resident on none of them.
 */
Test(wait_queue, queues_for_an_adapter_of_a_busy_model)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_waiter_t waiter = make_waiter(2000, 3000, 0);
	const at_queue_report_t report = {
	    {at_tag_from_text("llm"), at_tag_from_text("m"), 0}, 200, 200,
	    160000, 0, 0, {0, 0}};
	at_admission_decision_t decision;
	unsigned i;

	for (i = 0; i < 19; i++) {
		at_server_entry_t entry = {.tag = 1000u + i,
		    .service = at_tag_from_text("llm"),
		    .slots = SLOTS,
		    .residents.count = 1};

		entry.residents.models[0].tag = at_tag_from_text("m");
		(void)at_fleet_update_server(fleet, &entry);
	}
	waiter.work.adapter = at_tag_from_text("m/a1");
	at_contention_apply_report(
	    contention, at_tag_from_text("peer"), &report, 1, 0);
	at_wait_queue_decide(queue, &waiter, 0, &decision);
	cr_assert_eq(decision.choice_result, AT_CHOICE_NOT_RESIDENT);
	cr_assert_eq(decision.admission, AT_ADMISSION_QUEUED, "wait_us=%lu",
	    (unsigned long)decision.wait_us);
	free_queue(queue);
	at_fleet_delete(fleet);
}

/*
 * A few queued requests for a model that is resident nowhere do not cause the
 * next one to be refused.
 */
Test(wait_queue, queues_for_an_absent_model)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_waiter_t waiter = make_waiter(4000, 20000, 2);
	const at_queue_report_t report = {
	    {at_tag_from_text("llm"), at_tag_from_text("rare"), 0}, 8, 8, 6400,
	    0, 0, {0, 0}};
	at_admission_decision_t decision;

	waiter.work.model = at_tag_from_text("rare");
	waiter.first_event_limit_us = 16000 * MS;
	at_contention_apply_report(
	    contention, at_tag_from_text("peer"), &report, 1, 0);
	at_wait_queue_decide(queue, &waiter, 0, &decision);
	cr_assert_eq(decision.choice_result, AT_CHOICE_NOT_RESIDENT);
	cr_assert_eq(decision.admission, AT_ADMISSION_QUEUED);
	cr_assert_leq(decision.wait_us, 4000 * MS, "wait_us=%lu",
	    (unsigned long)decision.wait_us);
	free_queue(queue);
	at_fleet_delete(fleet);
}

/*
 * The only server of a plain service is in a backoff after failures: a request
 * waits for its end, and is not refused as if the servers were overloaded.
 */
Test(wait_queue, waits_for_the_end_of_a_backoff)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_waiter_t waiter = make_waiter(1, 5000, 0);
	at_admission_decision_t decision;

	waiter.work.model = 0;
	at_fleet_apply_unreachable(fleet, at_tag_from_text("one"), 0);
	at_wait_queue_decide(queue, &waiter, MS, &decision);
	cr_assert_eq(decision.choice_result, AT_CHOICE_FULL);
	cr_assert_eq(decision.admission, AT_ADMISSION_QUEUED);
	cr_assert_gt(waiter.expires_us, 1000 * MS);
	free_queue(queue);
	at_fleet_delete(fleet);
}

/* A request that must not go to the only free server blocks no other. */
Test(wait_queue, a_request_that_avoids_the_server_blocks_no_other)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_waiter_t waiters[2];
	at_choice_t choice;
	size_t i;

	fill_slots(fleet);
	for (i = 0; i < 2; i++) {
		waiters[i] = make_waiter(1400, 20000, 0);
		at_wait_queue_add(queue, &waiters[i]);
	}
	waiters[0].work.avoid[0] = at_tag_from_text("one");
	empty_slots(fleet);
	cr_assert_eq(at_wait_queue_take_placeable(queue, 1000 * MS, &choice),
	    &waiters[1]);
	free_queue(queue);
	at_fleet_delete(fleet);
}

/* Its caller would wait for nothing. */
Test(wait_queue, expires_at_once_if_its_version_is_gone)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_waiter_t waiter = make_waiter(2000, 3000, 0);
	at_server_entry_t entry = {.tag = at_tag_from_text("one"),
	    .service = at_tag_from_text("llm"),
	    .software = at_tag_from_text("v1"),
	    .slots = SLOTS,
	    .residents.count = 1};
	at_admission_decision_t decision;
	at_choice_t choice;

	entry.residents.models[0].tag = at_tag_from_text("m");
	(void)at_fleet_update_server(fleet, &entry);
	fill_slots(fleet);
	waiter.work.software = entry.software;
	at_wait_queue_decide(queue, &waiter, 0, &decision);
	cr_assert_eq(decision.admission, AT_ADMISSION_QUEUED);
	at_wait_queue_add(queue, &waiter);
	entry.is_leaving = 1;
	(void)at_fleet_update_server(fleet, &entry);
	cr_assert_null(at_wait_queue_take_placeable(queue, MS, &choice));
	cr_assert_eq(at_wait_queue_take_expired(queue, MS), &waiter);
	free_queue(queue);
	at_fleet_delete(fleet);
}

/*
 * A request for the version that has no free slot does not hold up one of the
 * same model for another version.
 */
Test(wait_queue, places_past_a_version_without_a_free_slot)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_waiter_t waiters[2] = {
	    make_waiter(1000, 3000, 0), make_waiter(2000, 3000, 0)};
	at_server_entry_t entry = {.tag = at_tag_from_text("one"),
	    .service = at_tag_from_text("llm"),
	    .software = at_tag_from_text("v1"),
	    .slots = SLOTS,
	    .residents.count = 1};
	at_choice_t choice;

	entry.residents.models[0].tag = at_tag_from_text("m");
	(void)at_fleet_update_server(fleet, &entry);
	entry.tag = at_tag_from_text("two");
	entry.software = at_tag_from_text("v2");
	(void)at_fleet_update_server(fleet, &entry);
	fill_slots(fleet);
	waiters[0].work.software = at_tag_from_text("v1");
	waiters[1].work.software = at_tag_from_text("v2");
	at_wait_queue_add(queue, &waiters[0]);
	at_wait_queue_add(queue, &waiters[1]);
	cr_assert_eq(
	    at_wait_queue_take_placeable(queue, 0, &choice), &waiters[1]);
	cr_assert_eq(at_server_entry(choice.server)->tag, entry.tag);
	cr_assert_null(at_wait_queue_take_placeable(queue, 0, &choice));
	at_wait_queue_remove(queue, &waiters[0]);
	free_queue(queue);
	at_fleet_delete(fleet);
}

/*
 * Queued requests that are late keep out none that can be on time: as many are
 * refused as the arriving request needs, and only where that helps.
 */
static const struct {
	const char *name;
	uint64_t queued_objective_ms;
	uint32_t queued_priority;
	uint64_t objective_ms; /* of the request that arrives at 1,000 ms */
	at_admission_t admission;
	int is_one_refused;
} yield_cases[] = {
    {"late ones yield", 900, 0, 2600, AT_ADMISSION_QUEUED, 1},
    {"on-time ones stay", 2500, 0, 2600, AT_ADMISSION_REFUSED, 0},
    {"not to one that is late itself", 900, 0, 950, AT_ADMISSION_REFUSED, 0},
};

Test(wait_queue, late_requests_yield_to_one_that_can_be_on_time)
{
	static at_waiter_t queued[256];
	size_t i;

	for (i = 0; i < sizeof(yield_cases) / sizeof(yield_cases[0]); i++) {
		at_fleet_t *fleet = make_fleet(1);
		at_wait_queue_t *queue = make_queue(fleet);
		at_waiter_t waiter =
		    make_waiter(yield_cases[i].objective_ms, 4000, 0);
		at_waiter_t *refused;
		at_admission_decision_t decision;
		unsigned k;

		fill_slots(fleet);
		for (k = 0; k < 100; k++) {
			queued[k] =
			    make_waiter(yield_cases[i].queued_objective_ms,
				20000, yield_cases[i].queued_priority);
			queued[k].expires_us = 15000 * MS;
			at_wait_queue_add(queue, &queued[k]);
		}
		at_wait_queue_decide(queue, &waiter, 1000 * MS, &decision);
		cr_expect_eq(decision.admission, yield_cases[i].admission,
		    "%s: %s", yield_cases[i].name,
		    at_admission_names[decision.admission]);
		refused = at_wait_queue_take_expired(queue, 1000 * MS);
		cr_expect_eq(refused != NULL, yield_cases[i].is_one_refused,
		    "%s", yield_cases[i].name);
		free_queue(queue);
		at_fleet_delete(fleet);
	}
}

/*
 * A workspace sends six times as much as another in a pulse: the requests of
 * the other one do not wait behind all of it.
 */
Test(wait_queue, a_workspace_in_a_pulse_waits_behind_its_own)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_waiter_t waiters[14];
	at_choice_t choice;
	unsigned others = 0;
	unsigned i;

	fill_slots(fleet);
	for (i = 0; i < 14; i++) {
		/* Every seventh request is that of the other workspace. */
		waiters[i] = make_waiter(1400 + i * 10, 20000, 0);
		waiters[i].workspace = i % 7 == 6 ? 2 : 1;
		at_wait_queue_add(queue, &waiters[i]);
	}
	empty_slots(fleet);
	for (i = 0; i < 9; i++) {
		at_waiter_t *waiter =
		    at_wait_queue_take_placeable(queue, 1000 * MS, &choice);

		cr_assert_not_null(waiter);
		others += (unsigned)(waiter->workspace == 2);
	}
	cr_assert_eq(others, 2, "others=%u", others);
	while (at_wait_queue_take_placeable(queue, 1000 * MS, &choice) != NULL)
		;
	free_queue(queue);
	at_fleet_delete(fleet);
}

/* Requests refused one after the other do not return all at one moment. */
Test(wait_queue, retries_after_a_long_overload_are_spread)
{
	static at_waiter_t queued[400];
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *queue = make_queue(fleet);
	at_admission_decision_t decision;
	uint32_t shortest_ms = UINT32_MAX;
	uint32_t longest_ms = 0;
	unsigned i;

	fill_slots(fleet);
	for (i = 0; i < 400; i++) {
		queued[i] = make_waiter(60000, 90000, 0);
		at_wait_queue_add(queue, &queued[i]);
	}
	for (i = 0; i < 1000; i++) {
		at_waiter_t waiter = make_waiter(60000, 2000 + i, 1);

		waiter.arrived_us = (1000 + i) * MS;
		at_wait_queue_decide(
		    queue, &waiter, (1000 + i) * MS, &decision);
		cr_assert_eq(decision.admission, AT_ADMISSION_REFUSED);
		if (decision.retry_after_ms < shortest_ms)
			shortest_ms = decision.retry_after_ms;
		if (decision.retry_after_ms > longest_ms)
			longest_ms = decision.retry_after_ms;
	}
	cr_assert_geq(longest_ms, shortest_ms + 900, "from %u to %u",
	    shortest_ms, longest_ms);
	free_queue(queue);
	at_fleet_delete(fleet);
}
