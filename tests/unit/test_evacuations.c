/*
 * Evacuated data centres: which of two statements is valid, when the store is
 * asked, and which servers a request may be sent to.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/evacuations.h"
#include "almondthread/fleet.h"

#define BOUND_MS 5000u
#define STEPS_MAX 6u

/* "+a5": a is evacuated at version 5; "-a5": it is no longer. */
static size_t
parse_entries(const char *text, at_evacuation_t *entries)
{
	size_t count = 0;

	while (*text != '\0') {
		at_evacuation_t *entry = &entries[count++];
		const char name[] = {text[1], '\0'};
		char *end;

		memset(entry, 0, sizeof(*entry));
		entry->is_evacuated = *text == '+';
		(void)at_name_set(&entry->data_centre, name);
		entry->version = strtoull(text + 2, &end, 10);
		text = *end == ' ' ? end + 1 : end;
	}
	return count;
}

static void
describe(const at_evacuations_t *set, char text[64])
{
	char name;

	text[0] = '\0';
	for (name = 'a'; name <= 'z'; name++) {
		size_t i;

		for (i = 0; i < set->count; i++) {
			if (set->entries[i].data_centre.text[0] == name &&
			    set->entries[i].is_evacuated)
				(void)snprintf(text + strlen(text),
				    64 - strlen(text), "%c", name);
		}
	}
}

/* Entries and the version up to which they are all, as reports bring them. */
typedef struct statement {
	const char *entries;
	uint64_t since;
	uint64_t after_ms; /* since the statement before */
} statement_t;

static const struct {
	const char *name;
	statement_t statements[STEPS_MAX];
	const char *evacuated;
} merges[] = {
    {"a report without a store", {{"+a5", 0, 0}}, "a"},
    {"two data centres by two reports", {{"+a5", 0, 0}, {"+b6", 0, 0}}, "ab"},
    {"taken back", {{"+a5", 0, 0}, {"-a7", 0, 0}}, ""},
    {"taken back, and the older report arrives late",
	{{"+a5", 0, 0}, {"-a7", 0, 0}, {"+a5", 0, 0}}, ""},
    {"evacuated again", {{"+a5", 0, 0}, {"-a7", 0, 0}, {"+a9", 0, 0}}, "a"},
    {"a list without it", {{"+a5 +b6", 6, 0}, {"+b6", 8, 0}}, "b"},
    {"an older list without it", {{"+a5", 5, 0}, {"", 4, 0}}, "a"},
    {"a list from before it", {{"+a9", 0, 0}, {"", 8, 0}}, "a"},
    {"an instance that was cut off when it was taken back",
	{{"+a5", 5, 0}, {"", 8, 0}, {"+a5", 5, 0}}, ""},
    {"the same after the entry was dropped",
	{{"+a5", 5, 0}, {"-a7", 7, 0},
	    {"", 9, AT_EVACUATION_REMOVED_KEPT_MS + 1u}, {"+a5", 5, 0}},
	""},
    {"the same without a version of the store",
	{{"+a5", 0, 0}, {"-a7", 0, 0},
	    {"", 0, AT_EVACUATION_REMOVED_KEPT_MS + 1u}, {"+a5", 0, 0}},
	""},
    {"evacuated again after the entry was dropped",
	{{"+a5", 5, 0}, {"-a7", 7, 0},
	    {"", 9, AT_EVACUATION_REMOVED_KEPT_MS + 1u}, {"+a11", 0, 0}},
	"a"},
    {"a store that is back from a copy before it",
	{{"+a5", 9, 0}, {"", (1ull << 48) + 4u, 0}, {"+a5", 9, 0}}, ""},
    {"a store that is back from a copy with it",
	{{"+a5", 5, 0}, {"-a7", 8, 0},
	    {"+a281474976710661", (1ull << 48) + 6u, 0}},
	"a"},
};

Test(evacuations, the_newest_statement_is_valid)
{
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(merges) / sizeof(merges[0]); i++) {
		at_evacuations_t set;
		uint64_t now_ms = 1000;
		char text[64];

		at_evacuations_init(&set, NULL, NULL);
		for (k = 0; k < STEPS_MAX; k++) {
			const statement_t *statement = &merges[i].statements[k];
			at_evacuation_t entries[4];

			if (statement->entries == NULL)
				break;
			now_ms += statement->after_ms;
			at_evacuations_expire(&set, now_ms);
			at_evacuations_merge(&set, entries,
			    parse_entries(statement->entries, entries),
			    statement->since, now_ms);
			at_evacuations_expire(&set, now_ms);
		}
		describe(&set, text);
		cr_expect_str_eq(
		    text, merges[i].evacuated, "%s: %s", merges[i].name, text);
	}
}

static void
count_change(void *ctx, const at_evacuation_t *evacuation)
{
	(void)evacuation;
	(*(uint32_t *)ctx)++;
}

/* Repeated reports must not place queued requests again and again. */
Test(evacuations, each_change_is_told_once)
{
	at_evacuation_t entries[2];
	at_evacuations_t set;
	uint32_t changes = 0;
	size_t i;

	at_evacuations_init(&set, count_change, &changes);
	for (i = 0; i < 3; i++)
		at_evacuations_merge(
		    &set, entries, parse_entries("+a5", entries), 6, 10);
	cr_expect_eq(changes, 1);
	for (i = 0; i < 3; i++)
		at_evacuations_merge(
		    &set, entries, parse_entries("-a7 -b8", entries), 9, 10);
	cr_expect_eq(changes, 2);
}

Test(evacuations, keeps_what_is_evacuated_when_full)
{
	at_evacuation_t entry = {.is_evacuated = 0};
	at_evacuations_t set;
	size_t i;

	at_evacuations_init(&set, NULL, NULL);
	for (i = 0; i < 3u * AT_EVACUATIONS_MAX; i++) {
		(void)snprintf(entry.data_centre.text,
		    sizeof(entry.data_centre.text), "z%zu", i);
		entry.version = i + 1;
		entry.is_evacuated = i % 2 == 0;
		(void)at_evacuations_apply(&set, &entry, 10);
	}
	cr_expect_eq(at_evacuations_count(&set), AT_EVACUATIONS_MAX);
	cr_expect(set.is_partial);
}

/*
 * A store that answers the reader's calls. At CHANGE_MS the object is written;
 * the calls are answered after delay_ms, or not at all.
 */
#define CHANGE_MS 20000u
#define END_MS 40000u
#define STEP_MS 10u

static const struct {
	const char *name;
	uint32_t delay_ms;
	uint32_t
	    lost_from_ms; /* responses that are due from then on are lost */
	uint32_t lost_to_ms;
	uint32_t refused_from_ms;
	uint32_t refused_to_ms;
	uint32_t deaf_ms;  /* from then on open watches bring no changes */
	uint32_t known_ms; /* the change is known that soon at the latest */
	uint32_t lists_max;
} reads[] = {
    {"an ordinary store", 20, 0, 0, 0, 0, 0, 60, 1},
    {"a slow store", 2000, 0, 0, 0, 0, 0, 4100, 3},
    {"the response is lost", 20, 20000, 20100, 0, 0, 0, 4500, 1},
    {"two responses are lost", 20, 20000, 23200, 0, 0, 0, 5000, 1},
    {"the store refuses for a second", 20, 0, 0, 19900, 21000, 0, 2000, 1},
    {"the store was away when it was written", 20, 0, 0, 10000, 20000, 0, 1000,
	1},
    {"the watch has lost its history", 20, 0, 0, 0, 0, 19900, 2000, 2},
};

typedef struct store {
	at_evacuation_action_t call;
	uint64_t arrives_ms; /* of the response; 0: no open call */
	uint64_t sent_ms;
	uint64_t ends_ms; /* of a watch without changes */
	int is_answered;
	at_objects_page_t page;
	at_object_t object;
	uint32_t lists;
	uint32_t open_max;
} store_t;

static void
begin(store_t *store, const at_evacuation_action_t *action, uint64_t now_ms)
{
	store->call = *action;
	store->is_answered = 0;
	store->sent_ms = now_ms;
	store->ends_ms = now_ms + action->wait_ms;
	store->arrives_ms = UINT64_MAX;
	store->lists += action->step == AT_EVACUATION_LIST;
}

/* Decides the response at the store; versions are the time in ms. */
static void
answer(store_t *store, size_t i, uint64_t now_ms)
{
	int is_watch = store->call.step == AT_EVACUATION_WATCH;
	int is_deaf = is_watch && reads[i].deaf_ms != 0 &&
		      store->sent_ms < reads[i].deaf_ms &&
		      now_ms >= reads[i].deaf_ms;
	int has_change = now_ms >= CHANGE_MS && !is_deaf &&
			 (!is_watch || store->call.since < CHANGE_MS);

	store->page = (at_objects_page_t){.store_version = now_ms};
	if (now_ms >= reads[i].refused_from_ms &&
	    now_ms < reads[i].refused_to_ms)
		store->page.code = AT_OBJECTS_REFUSED;
	else if (is_watch && !is_deaf && reads[i].deaf_ms != 0 &&
		 store->call.since < reads[i].deaf_ms &&
		 now_ms >= reads[i].deaf_ms)
		store->page.code = AT_OBJECTS_HISTORY_GONE;
	else if (has_change) {
		store->object =
		    (at_object_t){.name = "a", .version = CHANGE_MS};
		store->page.objects = &store->object;
		store->page.count = 1;
	} else if (is_watch && now_ms < store->ends_ms)
		return;
	store->is_answered = 1;
	if (reads[i].lost_to_ms == 0 || now_ms < reads[i].lost_from_ms ||
	    now_ms >= reads[i].lost_to_ms)
		store->arrives_ms = now_ms + reads[i].delay_ms;
}

static uint32_t
run_reads(size_t i, store_t *store)
{
	at_evacuations_t set;
	at_evacuation_reader_t reader;
	uint64_t now_ms;

	at_evacuations_init(&set, NULL, NULL);
	at_evacuation_reader_init(&reader, &set, BOUND_MS);
	at_evacuation_reader_set_active(&reader, 1);
	for (now_ms = 1000; now_ms < END_MS; now_ms += STEP_MS) {
		at_evacuation_action_t action;

		if (store->arrives_ms != 0 && !store->is_answered)
			answer(store, i, now_ms);
		if (store->arrives_ms != 0 && now_ms >= store->arrives_ms) {
			store->arrives_ms = 0;
			at_evacuation_reader_handle_response(
			    &reader, now_ms, &store->page);
		}
		at_evacuation_reader_process(&reader, now_ms, &action);
		if (action.step == AT_EVACUATION_CANCEL)
			store->arrives_ms = 0;
		else if (action.step != AT_EVACUATION_WAIT) {
			cr_assert_eq(store->arrives_ms, 0, "%s: two calls",
			    reads[i].name);
			begin(store, &action, now_ms);
		}
		if (at_evacuations_count(&set) > 0)
			return (uint32_t)(now_ms - CHANGE_MS);
	}
	return END_MS;
}

/* One response that is lost, or a slow store, must not hide an evacuation. */
Test(evacuations, the_reader_learns_a_change_in_time)
{
	size_t i;

	for (i = 0; i < sizeof(reads) / sizeof(reads[0]); i++) {
		store_t store = {.lists = 0};
		uint32_t known_ms = run_reads(i, &store);

		cr_expect_leq(known_ms, reads[i].known_ms, "%s: %u ms",
		    reads[i].name, known_ms);
		cr_expect_leq(store.lists, reads[i].lists_max, "%s: %u lists",
		    reads[i].name, store.lists);
	}
}

/* Calls are charged: however the store fails, lists are not repeated fast. */
Test(evacuations, lists_at_most_once_in_half_of_the_bound)
{
	static const at_objects_code_t codes[] = {AT_OBJECTS_REFUSED,
	    AT_OBJECTS_NO_RESPONSE, AT_OBJECTS_HISTORY_GONE};
	size_t i;

	for (i = 0; i < sizeof(codes) / sizeof(codes[0]); i++) {
		const at_objects_page_t page = {.code = codes[i]};
		at_evacuation_reader_t reader;
		at_evacuations_t set;
		uint64_t listed_ms = 0;
		uint64_t now_ms;

		at_evacuations_init(&set, NULL, NULL);
		at_evacuation_reader_init(&reader, &set, BOUND_MS);
		for (now_ms = 1000; now_ms < 30000; now_ms += STEP_MS) {
			at_evacuation_action_t action;

			/* The reader changes now and then. */
			if (now_ms % 700 == 0)
				at_evacuation_reader_set_active(&reader, 0);
			at_evacuation_reader_set_active(&reader, 1);
			at_evacuation_reader_process(&reader, now_ms, &action);
			if (action.step == AT_EVACUATION_LIST) {
				cr_expect(
				    listed_ms == 0 ||
					now_ms - listed_ms >= BOUND_MS / 2u,
				    "%s", at_objects_code_names[codes[i]]);
				listed_ms = now_ms;
			}
			if (action.step != AT_EVACUATION_WAIT)
				at_evacuation_reader_handle_response(
				    &reader, now_ms, &page);
		}
		cr_expect_neq(listed_ms, 0);
	}
}

/* A reader that stops halfway through a list must not take anything back. */
Test(evacuations, half_a_list_takes_nothing_back)
{
	at_object_t first = {.name = "a", .version = 5};
	const at_objects_page_t page = {
	    .objects = &first, .count = 1, .has_more = 1, .store_version = 9};
	at_evacuation_t entries[4];
	at_evacuation_action_t action;
	at_evacuation_reader_t reader;
	at_evacuations_t set;
	char text[64];

	at_evacuations_init(&set, NULL, NULL);
	at_evacuations_merge(
	    &set, entries, parse_entries("+b6", entries), 0, 1);
	at_evacuation_reader_init(&reader, &set, BOUND_MS);
	at_evacuation_reader_set_active(&reader, 1);
	at_evacuation_reader_process(&reader, 1000, &action);
	cr_assert_eq(action.step, AT_EVACUATION_LIST);
	at_evacuation_reader_handle_response(&reader, 1020, &page);
	at_evacuation_reader_process(&reader, 1020, &action);
	cr_expect_eq(action.step, AT_EVACUATION_LIST);
	cr_expect_str_eq(action.after, "a");
	at_evacuation_reader_set_active(&reader, 0);
	describe(&set, text);
	cr_expect_str_eq(text, "ab");
	cr_expect_eq(set.since, 0);
}

/* The gate */

static const at_fleet_secret_t secret = {.bytes = {1}};

static void
add_server(at_fleet_t *fleet, const char *id, const char *data_centre)
{
	at_server_entry_t entry = {.tag = at_tag_from_text(id),
	    .service = at_tag_from_text("plain"),
	    .data_centre = at_tag_from_text(data_centre),
	    .slots = 4,
	    .started_ms = 1000};

	(void)at_name_set(&entry.id, id);
	cr_assert_not_null(at_fleet_update_server(fleet, &entry));
}

/* "eu us": the regions of a list; "": any. */
static at_site_regions_t
parse_regions(const char *text)
{
	at_site_regions_t regions = {.count = 0};
	char name[8];
	int len;

	while (sscanf(text, "%7s%n", name, &len) == 1) {
		regions.tags[regions.count++] = at_tag_from_text(name);
		text += len;
	}
	return regions;
}

/* Servers n and m in north, s in south, w in west, x in a new data centre. */
static const struct {
	const char *name;
	const char *evacuated; /* first letters of data centres */
	const char *route;     /* allowed regions */
	const char *workspace;
	const char *chosen; /* servers that are chosen at times */
	at_choice_result_t result;
	uint32_t excluded; /* evacuated, and outside of the regions */
	uint32_t outside;
} gates[] = {
    {"nothing is evacuated", "", "", "", "nmswx", AT_CHOICE_SERVER, 0, 0},
    {"one data centre", "n", "", "", "swx", AT_CHOICE_SERVER, 2, 0},
    {"two of them", "ns", "", "", "wx", AT_CHOICE_SERVER, 3, 0},
    {"all of them", "nswx", "", "", "", AT_CHOICE_NO_SERVER, 5, 0},
    {"a region of the route", "", "eu", "", "nm", AT_CHOICE_SERVER, 0, 3},
    {"one of the workspace", "", "", "us", "sw", AT_CHOICE_SERVER, 0, 3},
    {"both apply", "", "eu us", "us asia", "sw", AT_CHOICE_SERVER, 0, 3},
    {"none is in both", "", "eu", "us", "", AT_CHOICE_NO_SERVER, 0, 5},
    {"no server in the region", "", "asia", "", "", AT_CHOICE_NO_SERVER, 0, 5},
    {"its only data centre is evacuated", "n", "eu", "", "",
	AT_CHOICE_NO_SERVER, 2, 3},
};

static at_fleet_t *
make_fleet(const char *evacuated)
{
	at_fleet_t *fleet = at_fleet_new(at_tag_from_text("north"), 1);
	at_site_t *site = at_site_new(&secret);

	at_site_add_service(site)->tag = at_tag_from_text("plain");
	at_fleet_set_site(fleet, site);
	at_site_unref(site);
	(void)at_fleet_set_region(
	    fleet, at_tag_from_text("north"), at_tag_from_text("eu"));
	(void)at_fleet_set_region(
	    fleet, at_tag_from_text("south"), at_tag_from_text("us"));
	(void)at_fleet_set_region(
	    fleet, at_tag_from_text("west"), at_tag_from_text("us"));
	add_server(fleet, "n", "north");
	add_server(fleet, "s", "south");
	for (; *evacuated != '\0'; evacuated++)
		(void)at_fleet_set_evacuated(fleet,
		    at_tag_from_text(*evacuated == 'n'   ? "north"
				     : *evacuated == 's' ? "south"
				     : *evacuated == 'w' ? "west"
							 : "new"),
		    1);
	/* Servers that are listed later. */
	add_server(fleet, "m", "north");
	add_server(fleet, "w", "west");
	add_server(fleet, "x", "new");
	return fleet;
}

Test(evacuations, no_request_passes_the_gate)
{
	static const char ids[] = "nmswx";
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(gates) / sizeof(gates[0]); i++) {
		at_site_regions_t route = parse_regions(gates[i].route);
		at_site_regions_t workspace = parse_regions(gates[i].workspace);
		const at_work_t work = {.service = at_tag_from_text("plain"),
		    .regions = {&route, &workspace}};
		at_fleet_t *fleet = make_fleet(gates[i].evacuated);
		char chosen[8] = "";
		at_choice_t choice;

		for (k = 0; k < 200; k++) {
			cr_assert_eq(at_fleet_choose(fleet, &work, 0, &choice),
			    gates[i].result, "%s", gates[i].name);
			if (choice.server != NULL &&
			    strstr(chosen,
				at_server_entry(choice.server)->id.text) ==
				NULL)
				(void)strcat(chosen,
				    at_server_entry(choice.server)->id.text);
		}
		for (k = 0; ids[k] != '\0'; k++)
			cr_expect_eq(strchr(chosen, ids[k]) != NULL,
			    strchr(gates[i].chosen, ids[k]) != NULL,
			    "%s: server %c", gates[i].name, ids[k]);
		cr_expect_eq(
		    choice.evacuated, gates[i].excluded, "%s", gates[i].name);
		cr_expect_eq(choice.outside_regions, gates[i].outside, "%s",
		    gates[i].name);
		at_fleet_delete(fleet);
	}
}

/* Attempts of other instances and orders must stop, too, and come back. */
Test(evacuations, nothing_else_is_sent_there)
{
	at_fleet_t *fleet = make_fleet("");
	at_server_t *server = at_fleet_find(fleet, at_tag_from_text("n"));

	cr_expect(at_server_accepts_relayed(server, 10));
	cr_expect(at_server_is_available(server, 10));
	(void)at_fleet_set_evacuated(fleet, at_tag_from_text("north"), 1);
	cr_expect_not(at_server_accepts_relayed(server, 10));
	cr_expect_not(at_server_is_available(server, 10));
	(void)at_fleet_set_evacuated(fleet, at_tag_from_text("north"), 0);
	cr_expect(at_server_accepts_relayed(server, 10));
	cr_expect(at_server_is_available(server, 10));
	at_fleet_delete(fleet);
}

static const struct {
	const char *text;
	const char *north; /* its region; NULL: the text is rejected */
} settings[] = {
    {"", ""},
    {"north:eu", "eu"},
    {"south:us,north:eu,west:us", "eu"},
    {"north:,south:us", ""},
    {"north", NULL},
    {"north:eu,south", NULL},
    {":eu", NULL},
    {"north:eu,,south:us", NULL},
};

Test(evacuations, reads_the_regions_of_data_centres)
{
	size_t i;

	for (i = 0; i < sizeof(settings) / sizeof(settings[0]); i++) {
		at_fleet_t *fleet = at_fleet_new(1, 1);
		int result = at_fleet_set_regions(fleet, settings[i].text);

		cr_expect_eq(result == 0, settings[i].north != NULL, "%s",
		    settings[i].text);
		if (result == 0)
			cr_expect_eq(
			    at_fleet_region(fleet, at_tag_from_text("north")),
			    at_tag_from_text(settings[i].north), "%s",
			    settings[i].text);
		at_fleet_delete(fleet);
	}
}
