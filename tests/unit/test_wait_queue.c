/*
 * The queue before the backend servers: who waits, who goes first, who is
 * told to come back.
 */
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/wait_queue.h"

#define MS 1000u /* microseconds */
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
make_waiting(at_fleet_t *fleet)
{
	contention = at_contention_new(1);
	return at_wait_queue_new(fleet, contention);
}

static void
free_waiting(at_wait_queue_t *waiting)
{
	at_wait_queue_delete(waiting);
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
fill(at_fleet_t *fleet)
{
	const at_load_report_t row = {
	    at_tag_from_text("one"), {.active = SLOTS}};

	at_fleet_apply_report(fleet, at_tag_from_text("peer"), &row, 1, 0);
}

static void
empty(at_fleet_t *fleet)
{
	at_fleet_apply_report(fleet, at_tag_from_text("peer"), NULL, 0, 0);
}

/* Who goes first when there is room at 1,000 ms. */
static const struct {
	const char *name;
	uint64_t objective_ms[2];
	uint32_t priority[2];
	int first;
} orders[] = {
    {"less time left", {1400, 1200}, {0, 0}, 1},
    {"late ones come last", {900, 1900}, {0, 0}, 1},
    {"priority counts as time", {1400, 1300}, {0, 2}, 0},
    {"a more urgent route goes before a shorter objective", {2800, 1400},
	{0, 1}, 0},
    {"but not before all that has less time", {3500, 1400}, {0, 1}, 1},
    {"of two late ones the older", {700, 800}, {0, 0}, 0},
};

Test(waiting, lets_the_most_pressing_go_first)
{
	size_t i;

	for (i = 0; i < sizeof(orders) / sizeof(orders[0]); i++) {
		at_fleet_t *fleet = make_fleet(1);
		at_wait_queue_t *waiting = make_waiting(fleet);
		at_waiter_t w[2];
		at_choice_t choice;
		int k;

		fill(fleet);
		for (k = 0; k < 2; k++) {
			w[k] = make_waiter(orders[i].objective_ms[k], 20000,
			    orders[i].priority[k]);
			at_wait_queue_add(waiting, &w[k]);
		}
		cr_assert_null(
		    at_wait_queue_take_placeable(waiting, 1000 * MS, &choice));
		empty(fleet);
		cr_assert_eq(
		    at_wait_queue_take_placeable(waiting, 1000 * MS, &choice),
		    &w[orders[i].first], "%s", orders[i].name);
		free_waiting(waiting);
		at_fleet_delete(fleet);
	}
}

static const struct {
	const char *name;
	int with_engine;
	int full;
	uint64_t deadline_ms;
	unsigned ahead; /* requests that wait already */
	at_admission_t arrival;
} arrivals[] = {
    {"there is room", 1, 0, 10000, 0, AT_ADMISSION_PLACED},
    {"room soon", 1, 1, 10000, 0, AT_ADMISSION_QUEUED},
    {"too many before it", 1, 1, 10000, 200, AT_ADMISSION_REFUSED},
    {"too little time", 1, 1, 50, 0, AT_ADMISSION_REFUSED},
    {"nobody serves it", 0, 0, 10000, 0, AT_ADMISSION_REFUSED},
};

Test(waiting, refuses_at_once_what_cannot_be_served)
{
	static at_waiter_t crowd[256];
	size_t i;

	for (i = 0; i < sizeof(arrivals) / sizeof(arrivals[0]); i++) {
		at_fleet_t *fleet = make_fleet(arrivals[i].with_engine);
		at_wait_queue_t *waiting = make_waiting(fleet);
		at_waiter_t waiter =
		    make_waiter(400, arrivals[i].deadline_ms, 0);
		at_admission_decision_t judgment;
		unsigned k;

		if (arrivals[i].full)
			fill(fleet);
		for (k = 0; k < arrivals[i].ahead; k++) {
			crowd[k] = make_waiter(300, 20000, 0);
			at_wait_queue_add(waiting, &crowd[k]);
		}
		at_wait_queue_decide(waiting, &waiter, 0, &judgment);
		cr_assert_eq(judgment.admission, arrivals[i].arrival, "%s: %s",
		    arrivals[i].name, at_admission_names[judgment.admission]);
		if (judgment.admission == AT_ADMISSION_REFUSED)
			cr_assert_gt(judgment.retry_after_ms, 0);
		free_waiting(waiting);
		at_fleet_delete(fleet);
	}
}

Test(waiting, gives_up_in_time_to_try_elsewhere)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *waiting = make_waiting(fleet);
	at_waiter_t waiter = make_waiter(400, 10000, 0);
	at_admission_decision_t judgment;

	fill(fleet);
	at_wait_queue_decide(waiting, &waiter, 0, &judgment);
	at_wait_queue_add(waiting, &waiter);
	cr_assert_null(at_wait_queue_take_expired(waiting, 0));
	cr_assert_lt(at_wait_queue_due_us(waiting), 10000 * MS);
	cr_assert_eq(
	    at_wait_queue_take_expired(waiting, at_wait_queue_due_us(waiting)),
	    &waiter);
	cr_assert_eq(at_wait_queue_count(waiting), 0);
	free_waiting(waiting);
	at_fleet_delete(fleet);
}

/* A caller without a single event leaves long before its deadline. */
Test(waiting, gives_up_before_the_caller_leaves)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *waiting = make_waiting(fleet);
	at_waiter_t waiter = make_waiter(400, 12000, 0);
	at_admission_decision_t judgment;

	waiter.first_event_limit_us = 2400 * MS;
	fill(fleet);
	at_wait_queue_decide(waiting, &waiter, 0, &judgment);
	cr_assert_eq(judgment.admission, AT_ADMISSION_QUEUED);
	at_wait_queue_add(waiting, &waiter);
	cr_assert_lt(at_wait_queue_due_us(waiting), 2400 * MS);
	cr_assert_gt(at_wait_queue_due_us(waiting), 1500 * MS);
	at_wait_queue_remove(waiting, &waiter);
	free_waiting(waiting);
	at_fleet_delete(fleet);
}

/* What waits elsewhere for another model holds nobody up. */
Test(waiting, counts_only_queues_for_the_same_model)
{
	const struct {
		const char *model;
		at_admission_t arrival;
	} rows[] = {
	    {"other", AT_ADMISSION_QUEUED}, {"m", AT_ADMISSION_REFUSED}};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		at_fleet_t *fleet = make_fleet(1);
		at_wait_queue_t *waiting = make_waiting(fleet);
		at_waiter_t waiter = make_waiter(400, 3000, 0);
		const at_queue_report_t queue = {
		    {at_tag_from_text("llm"), at_tag_from_text(rows[i].model)},
		    100, 100, 80000};
		at_admission_decision_t judgment;

		fill(fleet);
		at_contention_apply_report(
		    contention, at_tag_from_text("peer"), &queue, 1, 0);
		at_wait_queue_decide(waiting, &waiter, 0, &judgment);
		cr_assert_eq(judgment.admission, rows[i].arrival, "%s: %s",
		    rows[i].model, at_admission_names[judgment.admission]);
		free_waiting(waiting);
		at_fleet_delete(fleet);
	}
}

/*
 * A queue for a model that is on many engines does not turn away requests for
 * an adapter of it that none of them holds yet.
 */
Test(waiting, waits_for_an_adapter_of_a_busy_model)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *waiting = make_waiting(fleet);
	at_waiter_t waiter = make_waiter(2000, 3000, 0);
	const at_queue_report_t queue = {
	    {at_tag_from_text("llm"), at_tag_from_text("m")}, 200, 200, 160000};
	at_admission_decision_t judgment;
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
	    contention, at_tag_from_text("peer"), &queue, 1, 0);
	at_wait_queue_decide(waiting, &waiter, 0, &judgment);
	cr_assert_eq(judgment.choice_result, AT_CHOICE_NOT_RESIDENT);
	cr_assert_eq(judgment.admission, AT_ADMISSION_QUEUED, "wait_us=%lu",
	    (unsigned long)judgment.wait_us);
	free_waiting(waiting);
	at_fleet_delete(fleet);
}

/* A few that wait for a model that is nowhere do not turn the next one away. */
Test(waiting, waits_for_a_model_that_comes)
{
	at_fleet_t *fleet = make_fleet(1);
	at_wait_queue_t *waiting = make_waiting(fleet);
	at_waiter_t waiter = make_waiter(4000, 20000, 2);
	const at_queue_report_t queue = {
	    {at_tag_from_text("llm"), at_tag_from_text("rare")}, 8, 8, 6400};
	at_admission_decision_t judgment;

	waiter.work.model = at_tag_from_text("rare");
	waiter.first_event_limit_us = 16000 * MS;
	at_contention_apply_report(
	    contention, at_tag_from_text("peer"), &queue, 1, 0);
	at_wait_queue_decide(waiting, &waiter, 0, &judgment);
	cr_assert_eq(judgment.choice_result, AT_CHOICE_NOT_RESIDENT);
	cr_assert_eq(judgment.admission, AT_ADMISSION_QUEUED);
	cr_assert_leq(judgment.wait_us, 4000 * MS, "wait_us=%lu",
	    (unsigned long)judgment.wait_us);
	free_waiting(waiting);
	at_fleet_delete(fleet);
}
