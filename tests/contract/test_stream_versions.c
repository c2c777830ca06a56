/*
 * Resumable streams while engines of several software versions serve. What two
 * versions generate does not fit together, and engines do not check it: a
 * stream must be continued at the version that began it or be refused.
 */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include <criterion/criterion.h>

#include "entry/peers/gossip_impl.h"
#include "entry/store/sync.h"
#include "io/clock.h"
#include "support/entry_fixture.h"
#include "support/links.h"

#define EVENT_GAP_MS 5u
#define EVENTS 5u          /* of a stream that is not to be broken */
#define EVENTS_MANY 10000u /* of one that is */
#define RESUMPTIONS 8 /* of one stream, each of a caller that leaves again */
/* An origin reaches the other instances within this time. */
#define REPORT_MS 500u

#define STREAM_ID "first"

static const entry_fixture_request_t first = {
    "POST", "/stream/x", STREAM_ID, ENTRY_FIXTURE_KEY, "m0", "prompt"};

/* Starts entry instances and one engine of version v1. */
static entry_fixture_t *
make_fixture(size_t entries)
{
	entry_fixture_t *fixture = entry_fixture_new();

	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_engine_of_version(fixture, "m0", "v1");
	standin_server_set_events(fixture->servers[0], EVENTS, EVENT_GAP_MS);
	while (entries-- > 0)
		(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	return fixture;
}

static void
add_engine(entry_fixture_t *fixture, const char *version)
{
	size_t i = entry_fixture_add_engine_of_version(fixture, "m0", version);

	standin_server_set_events(fixture->servers[i], EVENTS, EVENT_GAP_MS);
}

static uint64_t
count_runs(const entry_fixture_t *fixture, const char *version)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < fixture->server_count; i++) {
		if (strcmp(fixture->versions[i], version) == 0)
			sum += standin_server_run_count(fixture->servers[i]);
	}
	return sum;
}

static int
has_event(void *ctx)
{
	const entry_fixture_response_t *response = ctx;

	return response->len > 0 && strstr(response->body, "\n\n") != NULL;
}

/* Begins the stream at v1; its caller leaves after the first event. */
static void
begin_stream(entry_fixture_t *fixture, size_t entry)
{
	entry_fixture_response_t response;

	entry_fixture_send(fixture, entry, &first, &response);
	entry_fixture_run_until(fixture, has_event, &response);
	entry_fixture_response_free(&response);
	cr_assert_eq(count_runs(fixture, "v1"), 1);
}

/* Resumes the stream; its caller leaves again, unless it is refused. */
static int
resume_stream(entry_fixture_t *fixture, size_t entry, const char *resumes)
{
	static unsigned number;
	char id[32];
	entry_fixture_request_t request = first;
	entry_fixture_response_t response;
	int status;

	(void)snprintf(id, sizeof(id), "resumed-%u", ++number);
	request.id = id;
	entry_fixture_call_resumed(
	    fixture, entry, &request, resumes, "1", &response);
	status = response.status;
	cr_assert(status == 200 || status == 503, "status %d", status);
	cr_assert_eq(response.retry_after[0] != '\0', status == 503);
	cr_assert(status == 503 || response.is_complete);
	entry_fixture_response_free(&response);
	return status;
}

static const struct {
	const char *name;
	const char
	    *versions[3];  /* of the engines added after the first event */
	uint32_t pause_ms; /* silence of the first server; 0: it breaks off */
	int is_complete;
	uint64_t runs;
} broken[] = {
    {"only another version is left", {"v2", "v2", NULL}, 0, 0, 1},
    {"one server of its version is left", {"v2", "v1", "v2"}, 0, 1, 2},
    {"silent beside another version", {"v2", "v2", NULL}, 1600, 1, 1},
};

static uint32_t
count_events(const entry_fixture_response_t *response)
{
	const char *at = response->body;
	uint32_t count = 0;

	while ((at = strstr(at, "\n\n")) != NULL) {
		at += 2;
		count++;
	}
	return count;
}

static int
is_done(void *ctx)
{
	return ((const entry_fixture_response_t *)ctx)->done;
}

/* Breaks the stream, or makes it pause, at an event that is still to come. */
static void
break_stream(entry_fixture_t *fixture, const entry_fixture_response_t *response,
    uint32_t pause_ms)
{
	standin_faults_t *server_faults =
	    standin_server_faults(fixture->servers[0]);
	uint32_t passed = count_events(response);
	size_t i;

	for (i = 0; i < fixture->server_count; i++)
		standin_server_set_events(
		    fixture->servers[i], passed + 30u, EVENT_GAP_MS);
	server_faults->pause_after = passed + 20u;
	server_faults->pause_ms = pause_ms;
	if (pause_ms == 0)
		server_faults->truncate_after = passed + 20u;
}

static void
run_broken(size_t i)
{
	entry_fixture_t *fixture = make_fixture(1);
	entry_fixture_response_t response;
	size_t k;

	standin_server_set_events(
	    fixture->servers[0], EVENTS_MANY, EVENT_GAP_MS);
	entry_fixture_send(fixture, 0, &first, &response);
	entry_fixture_run_until(fixture, has_event, &response);
	for (k = 0; k < 3 && broken[i].versions[k] != NULL; k++)
		add_engine(fixture, broken[i].versions[k]);
	entry_fixture_run_until_ready(fixture);
	break_stream(fixture, &response, broken[i].pause_ms);
	entry_fixture_run_until(fixture, is_done, &response);
	cr_assert_eq(
	    response.is_complete, broken[i].is_complete, "%s", broken[i].name);
	cr_assert_eq(count_runs(fixture, "v2"), 0, "%s", broken[i].name);
	cr_assert_eq(
	    count_runs(fixture, "v1"), broken[i].runs, "%s", broken[i].name);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

/* The retry within the response took any server of the service. */
Test(stream_versions, a_broken_stream_stays_at_its_version)
{
	size_t i;

	for (i = 0; i < sizeof(broken) / sizeof(broken[0]); i++)
		run_broken(i);
}

/*
 * Resumes the stream again and again at v1, v2 has the same model; each caller
 * names the first request.
 */
static void
check_resumptions(entry_fixture_t *fixture, size_t entry)
{
	int i;

	for (i = 0; i < RESUMPTIONS; i++)
		cr_assert_eq(resume_stream(fixture, entry, STREAM_ID), 200);
	cr_assert_eq(count_runs(fixture, "v2"), 0);
	cr_assert_eq(count_runs(fixture, "v1"), 1 + RESUMPTIONS);
}

/* Resumptions were sent to any server of the service. */
Test(stream_versions, a_resumed_stream_stays_at_its_version)
{
	entry_fixture_t *fixture = make_fixture(2);

	begin_stream(fixture, 0);
	add_engine(fixture, "v2");
	add_engine(fixture, "v1");
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, REPORT_MS);
	check_resumptions(fixture, 1);
	entry_fixture_delete(fixture);
}

Test(stream_versions, an_origin_outlives_the_instance)
{
	entry_fixture_t *fixture = make_fixture(2);

	begin_stream(fixture, 0);
	entry_fixture_run_ms(fixture, REPORT_MS);
	entry_fixture_remove_entry(fixture, 0);
	add_engine(fixture, "v2");
	entry_fixture_run_until_ready(fixture);
	check_resumptions(fixture, 1);
	entry_fixture_delete(fixture);
}

/* The instance starts after the stream has begun at another one. */
Test(stream_versions, an_instance_that_starts_learns_the_origins)
{
	entry_fixture_t *fixture = make_fixture(2);

	entry_fixture_run_ms(fixture, REPORT_MS);
	begin_stream(fixture, 0);
	add_engine(fixture, "v2");
	/* The origin is not reported any more when the instance starts. */
	entry_fixture_run_ms(fixture, 2 * REPORT_MS);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, 2 * REPORT_MS);
	check_resumptions(fixture, 2);
	entry_fixture_delete(fixture);
}

/* The first server is silent until the other one has responded. */
Test(stream_versions, the_first_event_decides_the_version)
{
	entry_fixture_t *fixture = make_fixture(2);
	entry_fixture_response_t response;
	int i;

	standin_server_faults(fixture->servers[0])->pause_ms = 10000;
	entry_fixture_send(fixture, 0, &first, &response);
	entry_fixture_run_ms(fixture, REPORT_MS);
	cr_assert_eq(count_runs(fixture, "v1"), 1);
	add_engine(fixture, "v2");
	entry_fixture_run_until(fixture, is_done, &response);
	cr_assert_eq(response.status, 200);
	cr_assert_eq(count_runs(fixture, "v2"), 1);
	entry_fixture_run_ms(fixture, REPORT_MS);
	for (i = 0; i < RESUMPTIONS; i++)
		cr_assert_eq(resume_stream(fixture, 1, STREAM_ID), 200);
	cr_assert_eq(count_runs(fixture, "v1"), 1);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

/* Reports that arrive while an instance is out of contact are lost. */
Test(stream_versions, an_instance_back_in_contact_learns_the_origins)
{
	entry_fixture_t *fixture = make_fixture(2);
	at_gossip_t *gossip = fixture->entries[1]->gossip;
	char lost[64];

	entry_fixture_run_ms(fixture, REPORT_MS);
	ev_io_stop(fixture->loop, &gossip->readable);
	begin_stream(fixture, 0);
	add_engine(fixture, "v2");
	entry_fixture_run_ms(
	    fixture, AT_ROSTER_REPORT_TIMEOUT_US / 1000u + REPORT_MS);
	while (recv(gossip->fd, lost, sizeof(lost), MSG_DONTWAIT) > 0)
		;
	ev_io_start(fixture->loop, &gossip->readable);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, REPORT_MS);
	check_resumptions(fixture, 1);
	entry_fixture_delete(fixture);
}

#define KNOWN_ORIGINS 2000u /* that an instance has heard of */

/*
 * All instances asked one that reported again for all origins, again and again
 * until its answer was complete, and filled its link.
 */
Test(stream_versions, an_instance_that_was_silent_is_asked_for_its_own_origins)
{
	entry_fixture_t *fixture = make_fixture(4);
	at_entry_t *silent = fixture->entries[0];
	uint64_t before;
	uint64_t i;

	entry_fixture_run_ms(fixture, REPORT_MS);
	begin_stream(fixture, 0);
	for (i = 1; i <= KNOWN_ORIGINS; i++) {
		const at_stream_origin_t origin = {i, 1};

		at_stream_origins_apply(
		    silent->origins, &origin, at_clock_now_us());
	}
	ev_timer_stop(fixture->loop, &silent->gossip->timer);
	entry_fixture_run_ms(
	    fixture, AT_ROSTER_REPORT_TIMEOUT_US / 1000u + REPORT_MS);
	before = at_counters_get(
	    silent->counters, "origins_answered_total", NULL, NULL);
	ev_timer_start(fixture->loop, &silent->gossip->timer);
	entry_fixture_run_ms(fixture, 4 * REPORT_MS);
	cr_assert_leq(at_counters_get(silent->counters,
			  "origins_answered_total", NULL, NULL),
	    before + 3);
	entry_fixture_delete(fixture);
}

/* How long the holder of the lease takes to record a version. */
#define RECORDED_MS 4000u

static int
has_no_v1(void *ctx)
{
	const entry_fixture_t *fixture = ctx;

	return at_fleet_find(fixture->entries[0]->fleet,
		   at_tag_from_text(fixture->ids[0])) == NULL;
}

/* Nobody knows of v1 any more: the rest of the stream came from v2. */
Test(stream_versions, a_stream_of_a_replaced_version_outlives_all_instances)
{
	entry_fixture_t *fixture = make_fixture(2);
	size_t entry;
	int i;

	begin_stream(fixture, 0);
	entry_fixture_run_ms(fixture, RECORDED_MS);
	add_engine(fixture, "v2");
	entry_fixture_run_until_ready(fixture);
	entry_fixture_unlist_server(fixture, 0);
	entry_fixture_run_until(fixture, has_no_v1, fixture);
	entry_fixture_remove_entry(fixture, 0);
	entry_fixture_remove_entry(fixture, 1);
	fixture->server_count--; /* wait for v2 only */
	entry = entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	fixture->server_count++;
	for (i = 0; i < RESUMPTIONS; i++) {
		cr_assert_eq(resume_stream(fixture, entry, STREAM_ID), 503);
		entry_fixture_run_ms(fixture, REPORT_MS);
	}
	cr_assert_eq(count_runs(fixture, "v2"), 0);
	entry_fixture_delete(fixture);
}

/* Streams that no server may continue, or whose origin is not known. */
static const struct {
	const char *name;
	const char *resumes;
	int with_v2;
	int without_v1;
	int without_store;
	int status;
} origins[] = {
    {"known, its version is gone", STREAM_ID, 1, 1, 0, 503},
    {"unknown, two versions", "unknown", 1, 0, 0, 503},
    {"not stated, two versions", NULL, 1, 0, 0, 503},
    {"unknown, another version has replaced the first", "unknown", 1, 1, 0,
	503},
    {"unknown, one version", "unknown", 0, 0, 0, 200},
    {"known, the store is away", STREAM_ID, 0, 0, 1, 200},
    {"unknown, the list may be outdated", "unknown", 0, 0, 1, 503},
};

static int
is_platform_away(void *ctx)
{
	const entry_fixture_t *fixture = ctx;

	return at_entry_is_platform_away(fixture->entries[0]);
}

static void
run_origin(size_t i)
{
	entry_fixture_t *fixture = make_fixture(1);
	uint64_t runs;

	begin_stream(fixture, 0);
	if (origins[i].with_v2)
		add_engine(fixture, "v2");
	entry_fixture_run_until_ready(fixture);
	if (origins[i].without_v1) {
		entry_fixture_unlist_server(fixture, 0);
		entry_fixture_run_until(fixture, has_no_v1, fixture);
	}
	if (origins[i].without_store) {
		standin_store_faults(fixture->store)->outage = 1;
		entry_fixture_run_until(fixture, is_platform_away, fixture);
	}
	runs = count_runs(fixture, "v1");
	cr_assert_eq(resume_stream(fixture, 0, origins[i].resumes),
	    origins[i].status, "%s", origins[i].name);
	cr_assert_eq(count_runs(fixture, "v2"), 0, "%s", origins[i].name);
	cr_assert_eq(count_runs(fixture, "v1") - runs,
	    origins[i].status == 200 ? 1 : 0, "%s", origins[i].name);
	entry_fixture_delete(fixture);
}

Test(stream_versions, a_stream_of_an_unknown_version_is_refused)
{
	size_t i;

	for (i = 0; i < sizeof(origins) / sizeof(origins[0]); i++)
		run_origin(i);
}

/*
 * An instance that is out of step: nothing of the store or of the others
 * arrives for a while. What the others have sent may be read at its end.
 */
static const struct {
	const char *name;
	uint32_t time_ms;
	int is_read_later;
} out_of_step[] = {
    {"cut off at this moment", 0, 0},
    {"cut off for 0.3 s", 300, 0},
    {"cut off for 0.7 s", 700, 0},
    {"cut off for 1.2 s", 1200, 0},
    {"cut off for 2.5 s", 2500, 0},
    {"standing still for 0.7 s", 700, 1},
    {"standing still for 1.5 s", 1500, 1},
};

static void
count_v1(void *ctx, at_server_t *server)
{
	*(size_t *)ctx +=
	    at_server_entry(server)->software == at_tag_from_text("v1");
}

static int
has_only_v2(void *ctx)
{
	at_fleet_t *fleet = ((const at_entry_t *)ctx)->fleet;
	size_t count = 0;

	at_fleet_each(fleet, count_v1, &count);
	return at_fleet_count(fleet) == 1 && count == 0;
}

/* Begins the stream at v2, which the instance out of step does not know. */
static void
begin_stream_at_v2(entry_fixture_t *fixture, size_t entry)
{
	entry_fixture_response_t response;

	add_engine(fixture, "v2");
	entry_fixture_unlist_server(fixture, 0);
	entry_fixture_run_until(fixture, has_only_v2, fixture->entries[entry]);
	entry_fixture_send(fixture, entry, &first, &response);
	entry_fixture_run_until(fixture, has_event, &response);
	entry_fixture_response_free(&response);
	cr_assert_eq(count_runs(fixture, "v2"), 1);
}

static void
run_out_of_step(size_t i)
{
	entry_fixture_t *fixture = make_fixture(0);
	links_t *links = links_new(fixture);
	at_gossip_t *gossip;
	char lost[64];
	size_t late; /* follows the other one, which reads the store's lists */
	uint64_t runs;
	uint64_t end_ms;

	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, 1500);
	late = at_sync_is_reader(fixture->entries[0]->sync) ? 1 : 0;
	cr_assert_not(at_sync_is_reader(fixture->entries[late]->sync));
	gossip = fixture->entries[late]->gossip;
	end_ms = at_clock_now_ms() + out_of_step[i].time_ms;
	ev_io_stop(fixture->loop, &gossip->readable);
	links_set_store(links, late, LINKS_HANG);
	begin_stream_at_v2(fixture, 1 - late);
	while (at_clock_now_ms() < end_ms)
		entry_fixture_run_ms(fixture, 10);
	runs = count_runs(fixture, "v1");
	while (!out_of_step[i].is_read_later &&
	       recv(gossip->fd, lost, sizeof(lost), MSG_DONTWAIT) > 0)
		;
	(void)resume_stream(fixture, late, STREAM_ID);
	cr_expect_eq(
	    count_runs(fixture, "v1"), runs, "%s", out_of_step[i].name);
	entry_fixture_delete(fixture);
	links_delete(links);
}

/* Its list had the old version only, at which streams of the new one went on.
 */
Test(stream_versions, an_instance_out_of_step_takes_up_no_stream)
{
	size_t i;

	for (i = 0; i < sizeof(out_of_step) / sizeof(out_of_step[0]); i++)
		run_out_of_step(i);
}

/*
 * The only instance of a data centre reads the lists itself. What the others
 * report reaches it, but they are killed right after the first event.
 */
static const struct {
	const char *name;
	uint32_t before_ms; /* from the cut to the new version */
	uint32_t after_ms;  /* from the first event to the resumption */
} alone[] = {
    {"cut off with the new version", 0, 0},
    {"cut off before it", 100, 0},
    {"cut off long before it", 400, 0},
    {"resumed later", 0, 300},
};

static void
run_alone(size_t i)
{
	entry_fixture_t *fixture = make_fixture(0);
	links_t *links = links_new(fixture);
	size_t begun;
	size_t late;
	uint64_t runs;

	begun = entry_fixture_add_entry(fixture);
	late = entry_fixture_add_entry_in(fixture, "south");
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, 1500);
	cr_assert(at_sync_is_reader(fixture->entries[late]->sync));
	links_set_store(links, late, LINKS_SILENT);
	entry_fixture_run_ms(fixture, alone[i].before_ms);
	begin_stream_at_v2(fixture, begun);
	entry_fixture_remove_entry(fixture, begun);
	entry_fixture_run_ms(fixture, alone[i].after_ms);
	runs = count_runs(fixture, "v1");
	cr_expect_eq(
	    resume_stream(fixture, late, STREAM_ID), 503, "%s", alone[i].name);
	cr_expect_eq(count_runs(fixture, "v1"), runs, "%s", alone[i].name);
	entry_fixture_delete(fixture);
	links_delete(links);
}

/*
 * Streams of a new version went on at the old one, at an instance that had been
 * cut off from the store for less than a second (ORDER).
 */
Test(stream_versions, an_instance_cut_off_alone_takes_up_no_stream)
{
	size_t i;

	for (i = 0; i < sizeof(alone) / sizeof(alone[0]); i++)
		run_alone(i);
}

/* Time in which the store responds; resumptions that are sent together. */
static const struct {
	const char *name;
	uint32_t delay_ms;
	int is_silent;
	size_t resumed;
	uint32_t reports; /* that are read while they are held */
	int status;
	uint64_t questions_max;
} confirmed[] = {
    {"at once", 0, 0, 1, 0, 200, 1},
    {"many together", 0, 0, 40, 0, 200, 2},
    {"a slow store", 400, 0, 1, 12, 200, 1},
    {"many at a slow store", 400, 0, 40, 12, 200, 2},
    {"a silent store", 0, 1, 40, 12, 503, 2},
};

#define READ_EACH_MS 30u

#define RESUMED_MAX 40u
#define HELD_MAX_MS 800u

static int
are_done(void *ctx)
{
	const entry_fixture_response_t *responses = ctx;
	size_t i;

	for (i = 0; i < RESUMED_MAX; i++) {
		if (!responses[i].done)
			return 0;
	}
	return 1;
}

static void
run_confirmed(size_t i)
{
	entry_fixture_t *fixture = make_fixture(1);
	standin_faults_t *faults = standin_store_faults(fixture->store);
	entry_fixture_response_t responses[RESUMED_MAX] = {{0}};
	char ids[RESUMED_MAX][16];
	entry_fixture_request_t request = first;
	uint64_t questions;
	uint64_t begun_ms;
	size_t k;

	entry_fixture_run_ms(fixture, REPORT_MS);
	faults->delay_ms = confirmed[i].delay_ms;
	faults->silent = confirmed[i].is_silent ? UINT32_MAX : 0;
	begun_ms = at_clock_now_ms();
	for (k = 0; k < RESUMED_MAX; k++) {
		responses[k].done = k >= confirmed[i].resumed;
		if (responses[k].done)
			continue;
		(void)snprintf(ids[k], sizeof(ids[k]), "again-%zu", k);
		request.id = ids[k];
		entry_fixture_send_resumed(
		    fixture, 0, &request, ids[k], "1", &responses[k]);
	}
	/* Reports that do not tell the origin lead to no further question. */
	for (k = 0; k < confirmed[i].reports; k++) {
		entry_fixture_run_ms(fixture, READ_EACH_MS);
		at_calls_release_held(fixture->entries[0]->calls);
	}
	entry_fixture_run_until(fixture, are_done, responses);
	cr_expect_leq(at_clock_now_ms() - begun_ms, HELD_MAX_MS + 500u, "%s",
	    confirmed[i].name);
	for (k = 0; k < confirmed[i].resumed; k++) {
		cr_expect_eq(responses[k].status, confirmed[i].status,
		    "%s: %zu got %d", confirmed[i].name, k,
		    responses[k].status);
		entry_fixture_response_free(&responses[k]);
	}
	questions = at_counters_get(fixture->entries[0]->counters,
			"list_questions_total", "result", "ok") +
		    at_counters_get(fixture->entries[0]->counters,
			"list_questions_total", "result", "late");
	cr_expect(questions > 0 && questions <= confirmed[i].questions_max,
	    "%s: %llu questions", confirmed[i].name,
	    (unsigned long long)questions);
	faults->silent = 0;
	entry_fixture_delete(fixture);
}

/*
 * Streams of unknown origin go on at the only version once the store has
 * confirmed that there is no other (LOST), with one question for many of them.
 */
Test(stream_versions, a_confirmed_list_lets_streams_of_unknown_origin_go_on)
{
	size_t i;

	for (i = 0; i < sizeof(confirmed) / sizeof(confirmed[0]); i++)
		run_confirmed(i);
}

/* The caller leaves while its request is held. */
Test(stream_versions, a_held_request_ends_with_its_caller)
{
	entry_fixture_t *fixture = make_fixture(1);
	at_entry_t *entry = fixture->entries[0];
	entry_fixture_response_t response;

	entry_fixture_run_ms(fixture, REPORT_MS);
	standin_store_faults(fixture->store)->delay_ms = 400;
	entry_fixture_send_resumed(
	    fixture, 0, &first, "unknown", "1", &response);
	entry_fixture_run_ms(fixture, 30);
	cr_assert_eq(at_httpd_open_requests(entry->callers), 1);
	entry_fixture_response_free(&response);
	entry_fixture_run_ms(fixture, 2 * REPORT_MS);
	cr_assert_eq(at_httpd_open_requests(entry->callers), 0);
	cr_assert_eq(count_runs(fixture, "v1"), 0);
	cr_assert_eq(at_counters_get(entry->counters, "held_resumptions_total",
			 "end", "left"),
	    1);
	entry_fixture_delete(fixture);
}
