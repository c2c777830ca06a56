/*
 * Tests of the choice of a backend server and of the records of what is
 * resident on each.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/fleet.h"

#define SLOTS 4u
#define KV_TOKENS 10000u

static const at_fleet_secret_t secret = {.bytes = {1}};

static at_site_t *
make_site(void)
{
	at_site_t *site = at_site_new(&secret);
	at_site_service_t *llm = at_site_add_service(site);
	at_site_service_t *plain;

	llm->tag = at_tag_from_text("llm");
	llm->has_models = 1;
	llm->slots = SLOTS;
	llm->kv_tokens = KV_TOKENS;
	plain = at_site_add_service(site);
	plain->tag = at_tag_from_text("plain");
	return site;
}

static at_fleet_t *
make_fleet(void)
{
	at_fleet_t *fleet = at_fleet_new(at_tag_from_text("north"), 1);
	at_site_t *site = make_site();

	at_fleet_set_site(fleet, site);
	at_site_unref(site);
	return fleet;
}

static at_server_entry_t
make_entry(const char *id, const char *service, const char *data_centre,
    const char *model)
{
	at_server_entry_t entry = {.tag = at_tag_from_text(id),
	    .service = at_tag_from_text(service),
	    .data_centre = at_tag_from_text(data_centre),
	    .slots = SLOTS,
	    .started_ms = 1000,
	    .heartbeat_sequence = 1};

	(void)at_name_set(&entry.id, id);
	if (model != NULL) {
		(void)at_name_set(&entry.residents.models[0].name, model);
		entry.residents.models[0].tag = at_tag_from_text(model);
		entry.residents.count = 1;
	}
	return entry;
}

static at_server_t *
add_server(at_fleet_t *fleet, const char *id, const char *service,
    const char *data_centre, const char *model)
{
	at_server_entry_t entry = make_entry(id, service, data_centre, model);

	return at_fleet_update_server(fleet, &entry);
}

static at_work_t
make_work(const char *model, uint32_t prompt)
{
	at_work_t work = {
	    .service = at_tag_from_text(model == NULL ? "plain" : "llm"),
	    .model = model == NULL ? 0 : at_tag_from_text(model),
	    .prompt_tokens = prompt,
	    .output_tokens = 100};

	return work;
}

static const char *
choose(at_fleet_t *fleet, const at_work_t *work, at_choice_result_t *result)
{
	at_choice_t choice;

	*result = at_fleet_choose(fleet, work, 1, &choice);
	return choice.server == NULL ? ""
				     : at_server_entry(choice.server)->id.text;
}

Test(fleet, chooses_the_engine_with_the_least_load)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "llm", "north", "m");
	at_work_t work = make_work("m", 1000);
	at_choice_result_t result;

	(void)add_server(fleet, "two", "llm", "north", "m");
	(void)add_server(fleet, "three", "llm", "north", "other");
	at_server_note_sent(one, &work, 0);
	cr_assert_str_eq(choose(fleet, &work, &result), "two");
	cr_assert_eq(result, AT_CHOICE_SERVER);
	at_fleet_note_ended(fleet, one, &work, 0, AT_OUTCOME_SUCCESS, 2);
	at_fleet_delete(fleet);
}

/* All instances see the same best engine; not all of them may choose it. */
Test(fleet, draws_among_engines_of_nearly_equal_cost)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "llm", "north", "m");
	at_work_t small = make_work("m", 300);
	at_work_t work = make_work("m", 800);
	unsigned chosen = 0;
	at_choice_result_t result;
	unsigned i;

	(void)add_server(fleet, "two", "llm", "north", "m");
	at_server_note_sent(one, &small, 0);
	for (i = 0; i < 100; i++)
		chosen += strcmp(choose(fleet, &work, &result), "one") == 0;
	cr_assert_gt(chosen, 10, "the engine with load is hardly ever chosen");
	cr_assert_lt(chosen, 60, "free slots are not weighted");
	at_fleet_note_ended(fleet, one, &small, 0, AT_OUTCOME_SUCCESS, 2);
	at_fleet_delete(fleet);
}

Test(fleet, counts_requests_in_flight_of_peers)
{
	at_fleet_t *fleet = make_fleet();
	const at_load_report_t full = {
	    at_tag_from_text("one"), {.active = SLOTS, .prefill_tokens = 500}};
	at_work_t work = make_work("m", 1000);
	at_choice_result_t result;

	(void)add_server(fleet, "one", "llm", "north", "m");
	at_fleet_apply_report(fleet, at_tag_from_text("peer"), &full, 1, 0);
	(void)choose(fleet, &work, &result);
	cr_assert_eq(result, AT_CHOICE_FULL);
	at_fleet_expire_reports(fleet, 2000, 1000);
	(void)choose(fleet, &work, &result);
	cr_assert_eq(result, AT_CHOICE_SERVER,
	    "the load of a silent peer is still counted");
	at_fleet_delete(fleet);
}

static const struct {
	const char *name;
	const char *model; /* NULL for the plain service */
	const char *adapter;
	uint32_t prompt;
	at_choice_result_t result;
} results[] = {
    {"resident", "m", NULL, 100, AT_CHOICE_SERVER},
    {"not resident", "absent", NULL, 100, AT_CHOICE_NOT_RESIDENT},
    {"adapter not resident", "m", "m/a1", 100, AT_CHOICE_NOT_RESIDENT},
    {"larger than the memory, but the only request", "m", NULL, KV_TOKENS,
	AT_CHOICE_SERVER},
    {"no server of the service", NULL, NULL, 0, AT_CHOICE_NO_SERVER},
};

Test(fleet, returns_why_none_chosen)
{
	at_fleet_t *fleet = make_fleet();
	size_t i;

	(void)add_server(fleet, "one", "llm", "north", "m");
	for (i = 0; i < sizeof(results) / sizeof(results[0]); i++) {
		at_work_t work = make_work(results[i].model, results[i].prompt);
		at_choice_result_t result;

		if (results[i].adapter != NULL)
			work.adapter = at_tag_from_text(results[i].adapter);
		(void)choose(fleet, &work, &result);
		cr_assert_eq(result, results[i].result, "%s: %s",
		    results[i].name, at_choice_result_names[result]);
	}
	at_fleet_delete(fleet);
}

Test(fleet, backs_off_from_a_failing_server_and_retries)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "plain", "north", NULL);
	at_work_t work = make_work(NULL, 0);
	at_choice_t choice;
	int i;

	for (i = 0; i < 3; i++) {
		at_server_note_sent(one, &work, 0);
		at_fleet_note_ended(
		    fleet, one, &work, 0, AT_OUTCOME_FAILED, 100);
	}
	cr_assert_neq(
	    at_fleet_choose(fleet, &work, 101, &choice), AT_CHOICE_SERVER);
	cr_assert_eq(
	    at_fleet_choose(fleet, &work, 5000000, &choice), AT_CHOICE_SERVER);
	at_server_note_sent(one, &work, 0);
	cr_assert_neq(at_fleet_choose(fleet, &work, 5000000, &choice),
	    AT_CHOICE_SERVER, "two requests in flight after a backoff");
	at_fleet_note_ended(fleet, one, &work, 1, AT_OUTCOME_SUCCESS, 5000001);
	cr_assert_eq(
	    at_fleet_choose(fleet, &work, 5000002, &choice), AT_CHOICE_SERVER);
	at_fleet_delete(fleet);
}

/* Entries of a server about itself, in the order of arrival. */
static const struct {
	const char *name;
	uint64_t started_ms;
	uint64_t heartbeat_sequence;
	int is_applied;
} updates[] = {
    {"the next entry", 1000, 2, 1},
    {"an older entry, delayed", 1000, 1, 0},
    {"a later incarnation with the same id", 2000, 1, 1},
    {"the earlier incarnation", 1000, 9, 0},
};

Test(fleet, ignores_entries_that_are_outdated)
{
	at_fleet_t *fleet = make_fleet();
	size_t i;

	(void)add_server(fleet, "one", "llm", "north", "m");
	for (i = 0; i < sizeof(updates) / sizeof(updates[0]); i++) {
		at_server_entry_t entry =
		    make_entry("one", "llm", "north", "m");

		entry.started_ms = updates[i].started_ms;
		entry.heartbeat_sequence = updates[i].heartbeat_sequence;
		cr_assert_eq(at_fleet_update_server(fleet, &entry) != NULL,
		    updates[i].is_applied, "%s", updates[i].name);
	}
	at_fleet_delete(fleet);
}

Test(fleet, notes_override_the_list_for_their_lifetime)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "llm", "north", "m");
	at_server_entry_t entry = make_entry("one", "llm", "north", "m");
	at_name_t model;
	at_name_t adapter;

	(void)at_name_set(&model, "new");
	(void)at_name_set(&adapter, "a1");
	at_server_note_model(one, &model, 1, 0);
	at_server_note_adapter(one, &model, &adapter, 1);
	cr_assert(at_server_has_resident(
	    one, at_tag_from_text("new"), at_tag_from_text("new/a1")));
	entry.heartbeat_sequence = 2;
	(void)at_fleet_update_server(fleet, &entry);
	cr_assert(at_server_has_resident(
		      one, at_tag_from_text("new"), at_tag_from_text("new/a1")),
	    "an older list replaced a note");
	at_fleet_expire_notes(fleet, AT_NOTE_LIFETIME_US + 1);
	cr_assert_not(at_server_has_resident(one, at_tag_from_text("new"), 0));
	cr_assert(at_server_has_resident(one, at_tag_from_text("m"), 0));
	at_fleet_delete(fleet);
}

/*
 * An engine completes its streams before it unloads a model and reports the
 * model until then, but starts no new request for it. When no instance reports
 * the unload any more, the instance list applies again.
 */
Test(fleet, does_not_choose_a_model_being_unloaded)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "llm", "north", "m");
	at_server_entry_t entry = make_entry("one", "llm", "north", "m");
	at_work_t work = make_work("m", 800);
	at_name_t model;
	at_choice_result_t result;
	uint64_t second;

	(void)at_name_set(&model, "m");
	for (second = 1; second <= 12; second++) {
		if (second <= 6)
			at_server_note_model(one, &model, 0, second * 1000000u);
		entry.heartbeat_sequence++;
		(void)at_fleet_update_server(fleet, &entry);
		at_fleet_expire_notes(fleet, second * 1000000u + 1u);
		(void)choose(fleet, &work, &result);
		cr_assert_eq(result,
		    second < 9 ? AT_CHOICE_NOT_RESIDENT : AT_CHOICE_SERVER,
		    "after %u s", (unsigned)second);
	}
	at_server_note_model(one, &model, 0, 13000000u);
	at_server_note_model(one, &model, 1, 14000000u);
	(void)choose(fleet, &work, &result);
	cr_assert_eq(result, AT_CHOICE_SERVER,
	    "not chosen although it is resident again");
	at_fleet_delete(fleet);
}

Test(fleet, a_new_incarnation_has_no_earlier_residents)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "llm", "north", "m");
	at_server_entry_t entry = make_entry("one", "llm", "north", NULL);
	at_name_t model;

	(void)at_name_set(&model, "new");
	at_server_note_model(one, &model, 1, 0);
	entry.started_ms = 5000;
	(void)at_fleet_update_server(fleet, &entry);
	cr_assert_not(at_server_has_resident(one, at_tag_from_text("new"), 0));
	cr_assert_not(at_server_has_resident(one, at_tag_from_text("m"), 0));
	at_fleet_delete(fleet);
}

Test(fleet, applies_peer_reports_without_a_recent_success)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "plain", "north", NULL);
	at_work_t work = make_work(NULL, 0);
	at_choice_t choice;

	at_fleet_apply_unreachable(fleet, at_tag_from_text("one"), 100);
	cr_assert_neq(
	    at_fleet_choose(fleet, &work, 101, &choice), AT_CHOICE_SERVER);
	cr_assert_eq(
	    at_fleet_choose(fleet, &work, 1000000, &choice), AT_CHOICE_SERVER);
	at_server_note_sent(one, &work, 1000000);
	at_fleet_note_ended(fleet, one, &work, 0, AT_OUTCOME_SUCCESS, 1000001);
	at_fleet_apply_unreachable(fleet, at_tag_from_text("one"), 1000002);
	cr_assert_eq(
	    at_fleet_choose(fleet, &work, 1000003, &choice), AT_CHOICE_SERVER);
	at_fleet_delete(fleet);
}

Test(fleet, does_not_retry_a_model_that_is_not_resident)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "llm", "north", "m");
	at_work_t work = make_work("m", 100);
	at_name_t model;
	at_choice_result_t result;

	(void)at_name_set(&model, "m");
	work.model_name = &model;
	at_server_note_misplaced(one, &work, 100);
	(void)choose(fleet, &work, &result);
	cr_assert_eq(result, AT_CHOICE_NOT_RESIDENT);
	at_fleet_expire_notes(fleet, 2000000);
	(void)choose(fleet, &work, &result);
	cr_assert_eq(result, AT_CHOICE_SERVER);
	at_fleet_delete(fleet);
}

/* A plain service at its limit is kept busy by its own queue. */
Test(fleet, a_plain_service_may_queue)
{
	at_fleet_t *fleet = make_fleet();
	const at_load_report_t full = {
	    at_tag_from_text("one"), {.active = SLOTS}};
	const at_load_report_t long_queue = {
	    at_tag_from_text("one"), {.active = 3 * SLOTS}};
	at_work_t work = make_work(NULL, 0);
	at_choice_result_t result;

	(void)add_server(fleet, "one", "plain", "north", NULL);
	at_fleet_apply_report(fleet, at_tag_from_text("peer"), &full, 1, 0);
	(void)choose(fleet, &work, &result);
	cr_assert_eq(result, AT_CHOICE_SERVER);
	at_fleet_apply_report(
	    fleet, at_tag_from_text("peer"), &long_queue, 1, 0);
	(void)choose(fleet, &work, &result);
	cr_assert_eq(result, AT_CHOICE_FULL);
	at_fleet_delete(fleet);
}

/* A long prompt must be placed as often as a usual one. */
Test(fleet, long_prompts_are_placed_beside_others)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "llm", "north", "m");
	at_work_t usual = make_work("m", 800);
	at_work_t longest = make_work("m", 7000);
	at_choice_result_t result;

	longest.has_slack = 1;
	at_server_note_sent(one, &usual, 0);
	(void)choose(fleet, &longest, &result);
	cr_assert_eq(result, AT_CHOICE_SERVER);
	at_server_note_sent(one, &longest, 0);
	(void)choose(fleet, &longest, &result);
	cr_assert_eq(result, AT_CHOICE_FULL);
	at_fleet_delete(fleet);
}

/* The streams of a server that was silent and goes on are open for long. */
Test(fleet, a_silent_server_that_goes_on_is_chosen_again)
{
	at_fleet_t *fleet = make_fleet();
	at_server_t *one = add_server(fleet, "one", "llm", "north", "m");
	at_work_t work = make_work("m", 100);
	at_choice_t choice;
	int i;

	for (i = 0; i < 3; i++) {
		at_server_note_sent(one, &work, 1);
		at_server_note_first_event(one, &work, 1000, 1000);
	}
	for (i = 0; i < 3; i++)
		at_server_note_silent(one, 1300000);
	cr_assert_eq(
	    at_fleet_choose(fleet, &work, 1400000, &choice), AT_CHOICE_FULL);
	at_server_note_responding(one, 1600000);
	cr_assert_eq(
	    at_fleet_choose(fleet, &work, 1700000, &choice), AT_CHOICE_SERVER);
	at_fleet_delete(fleet);
}

/* Requests for a stream that version "v1" began; "m" is also on "v2". */
static const struct {
	const char *name;
	const char *model;
	const char *version; /* of the other servers */
	int leaves;          /* the server of v1 with the model */
	at_choice_result_t result;
} versions[] = {
    {"both versions have the model", "m", "v2", 0, AT_CHOICE_SERVER},
    {"the model is resident at the other version only", "other", "v2", 0,
	AT_CHOICE_NO_SERVER},
    {"the server of its version is leaving", "m", "v2", 1, AT_CHOICE_NO_SERVER},
    {"the model is resident nowhere, at one version", "none", "v1", 0,
	AT_CHOICE_NOT_RESIDENT},
};

Test(fleet, chooses_only_servers_of_the_required_version)
{
	size_t i;

	for (i = 0; i < sizeof(versions) / sizeof(versions[0]); i++) {
		at_fleet_t *fleet = make_fleet();
		at_server_entry_t one = make_entry("one", "llm", "north", "m");
		at_server_entry_t two = make_entry("two", "llm", "north", "m");
		at_server_entry_t three =
		    make_entry("three", "llm", "north", "other");
		at_work_t work = make_work(versions[i].model, 100);
		at_choice_result_t result;
		unsigned k;

		one.software = at_tag_from_text("v1");
		one.is_leaving = versions[i].leaves;
		two.software = at_tag_from_text(versions[i].version);
		three.software = two.software;
		(void)at_fleet_update_server(fleet, &one);
		(void)at_fleet_update_server(fleet, &two);
		(void)at_fleet_update_server(fleet, &three);
		work.software = one.software;
		for (k = 0; k < 20; k++) {
			const char *chosen = choose(fleet, &work, &result);

			cr_assert_eq(
			    result, versions[i].result, "%s", versions[i].name);
			cr_assert_str_eq(chosen,
			    result == AT_CHOICE_SERVER ? "one" : "", "%s",
			    versions[i].name);
		}
		at_fleet_delete(fleet);
	}
}

/* What a removed server has stated holds if its entry had only lapsed. */
static const struct {
	const char *name;
	int states_leaving;
	int wants_pause;
	int names_limit;
	int is_kept;
} notices[] = {
    {"nothing", 0, 0, 0, 0},
    {"it leaves", 1, 0, 0, 1},
    {"a pause", 0, 1, 0, 1},
    {"a limit", 0, 0, 1, 1},
};

Test(fleet, keeps_what_a_removed_server_has_stated)
{
	const at_tag_t tag = at_tag_from_text("one");
	size_t i;

	for (i = 0; i < sizeof(notices) / sizeof(notices[0]); i++) {
		at_fleet_t *fleet = make_fleet();
		at_server_t *server =
		    add_server(fleet, "one", "plain", "north", NULL);

		if (notices[i].states_leaving)
			(void)at_server_note_leaving(server);
		if (notices[i].wants_pause)
			at_server_note_pause(server, 5000000);
		if (notices[i].names_limit)
			(void)at_server_note_limit(server, 1000, 1);
		at_fleet_remove(fleet, tag);
		at_fleet_expire_removed(fleet, 1000000);
		cr_assert_eq(at_fleet_find(fleet, tag) != NULL,
		    notices[i].is_kept, "%s", notices[i].name);
		server = add_server(fleet, "one", "plain", "north", NULL);
		cr_assert(at_server_is_listed(server));
		cr_assert_eq(at_server_entry(server)->is_leaving,
		    notices[i].states_leaving, "%s", notices[i].name);
		at_fleet_remove(fleet, tag);
		at_fleet_expire_removed(fleet, 2000000);
		at_fleet_expire_removed(
		    fleet, 2000000 + AT_REMOVED_SERVER_KEPT_US);
		cr_assert_null(
		    at_fleet_find(fleet, tag), "%s", notices[i].name);
		at_fleet_delete(fleet);
	}
}
