#include "entry/store/crash_blocks.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "almondthread/log.h"
#include "io/clock.h"

#define OBJECT_KIND "entry-blocked-parts"
#define CHECK_S 0.3
/* Time between two lists of the holder while a part is blocked. */
#define LIST_US 4000000u
/* A block that is newer than this is not lifted by an object seen first. */
#define NEW_BLOCK_US 5000000u

/* An object of the store, as last read or written. */
typedef struct stored_block {
	uint64_t part;
	uint64_t version;
	at_cause_state_t state;
	int is_seen; /* in the list that is being read */
} stored_block_t;

struct at_crash_blocks {
	at_crash_blocks_deps_t deps;
	at_objects_call_t *list_call;
	stored_block_t stored[AT_CRASH_VERDICTS_MAX];
	size_t stored_count;
	int is_writing;
	uint64_t written_part; /* of the open write */
	at_cause_state_t written_state;
	int has_read;
	uint64_t listed_us;
	ev_timer timer;
};

static int
is_holder(const at_crash_blocks_t *blocks)
{
	return blocks->deps.may_write(blocks->deps.ctx);
}

static stored_block_t *
find_stored(at_crash_blocks_t *blocks, uint64_t part)
{
	size_t i;

	for (i = 0; i < blocks->stored_count; i++) {
		if (blocks->stored[i].part == part)
			return &blocks->stored[i];
	}
	return NULL;
}

/* Returns NULL if there are too many. */
static stored_block_t *
find_or_add_stored(at_crash_blocks_t *blocks, uint64_t part)
{
	stored_block_t *stored = find_stored(blocks, part);

	if (stored != NULL || blocks->stored_count == AT_CRASH_VERDICTS_MAX)
		return stored;
	stored = &blocks->stored[blocks->stored_count++];
	*stored = (stored_block_t){.part = part};
	return stored;
}

/* Reading */

static void
lift(at_crash_blocks_t *blocks, uint64_t part, const char *how)
{
	if (at_server_crashes_lift(blocks->deps.crashes, part) == 0)
		at_log(AT_LOG_WARN, "crashes", NULL,
		    "block lifted by an operator part=%" PRIx64 " object=%s",
		    part, how);
}

static void
apply_block(at_crash_blocks_t *blocks, uint64_t part, uint64_t version,
    const json_t *spec)
{
	const char *state = json_string_value(json_object_get(spec, "state"));
	at_cause_state_t before;
	stored_block_t *stored;

	if (state == NULL || part == 0)
		return;
	stored = find_or_add_stored(blocks, part);
	if (stored == NULL)
		return;
	before = stored->state;
	stored->version = version;
	stored->is_seen = 1;
	stored->state =
	    strcmp(state, at_cause_state_names[AT_CAUSE_LIFTED]) == 0
		? AT_CAUSE_LIFTED
		: AT_CAUSE_BLOCKED;
	if (stored->state == AT_CAUSE_BLOCKED && before == AT_CAUSE_CLEAR)
		at_server_crashes_apply_block(blocks->deps.crashes, part,
		    (uint32_t)json_integer_value(
			json_object_get(spec, "crashes")),
		    json_is_true(json_object_get(spec, "has_begun")));
	else if (stored->state == AT_CAUSE_LIFTED &&
		 (before == AT_CAUSE_BLOCKED ||
		     at_server_crashes_block_age_us(
			 blocks->deps.crashes, part) > NEW_BLOCK_US))
		lift(blocks, part, "lifted");
}

static void
apply_object(at_crash_blocks_t *blocks, const at_object_t *object)
{
	json_t *spec = object->text == NULL
			   ? NULL
			   : json_loadb(object->text, object->len, 0, NULL);

	apply_block(
	    blocks, strtoull(object->name, NULL, 16), object->version, spec);
	json_decref(spec);
}

/* Objects that are gone were deleted by an operator. */
static void
forget_unseen(at_crash_blocks_t *blocks)
{
	size_t i = 0;

	while (i < blocks->stored_count) {
		stored_block_t stored = blocks->stored[i];

		if (stored.is_seen) {
			blocks->stored[i++].is_seen = 0;
			continue;
		}
		blocks->stored[i] = blocks->stored[--blocks->stored_count];
		if (stored.state == AT_CAUSE_BLOCKED)
			lift(blocks, stored.part, "deleted");
	}
}

/* At most AT_CRASH_VERDICTS_MAX objects are used, which are on one page. */
static void
on_list(void *ctx, const at_objects_page_t *page)
{
	at_crash_blocks_t *blocks = ctx;
	size_t i;

	blocks->list_call = NULL;
	if (page->code != AT_OBJECTS_OK)
		return;
	blocks->has_read = 1;
	for (i = 0; i < page->count; i++)
		apply_object(blocks, &page->objects[i]);
	if (!page->has_more)
		forget_unseen(blocks);
}

static void
list(at_crash_blocks_t *blocks)
{
	blocks->listed_us = at_clock_now_us();
	blocks->list_call = blocks->deps.objects.list(
	    blocks->deps.objects.impl, OBJECT_KIND, NULL, on_list, blocks);
}

/* Writing */

static void
on_written(void *ctx, const at_store_result_t *result)
{
	at_crash_blocks_t *blocks = ctx;
	stored_block_t *stored;

	blocks->is_writing = 0;
	/* After a conflict or a lost answer the list tells what is there. */
	if (result->code != AT_STORE_OK) {
		blocks->has_read = 0;
		return;
	}
	stored = find_or_add_stored(blocks, blocks->written_part);
	if (stored == NULL)
		return;
	stored->version = result->version;
	stored->state = blocks->written_state;
}

typedef struct write_search {
	at_crash_blocks_t *blocks;
	const at_crash_verdict_t *found;
} write_search_t;

/* Finds a block that the store does not have. */
static void
consider_verdict(void *ctx, const at_crash_verdict_t *verdict)
{
	write_search_t *search = ctx;
	const stored_block_t *stored =
	    find_stored(search->blocks, verdict->part);

	if (verdict->state == AT_CAUSE_BLOCKED &&
	    (stored == NULL || stored->state != AT_CAUSE_BLOCKED))
		search->found = verdict;
}

static void
write_block(at_crash_blocks_t *blocks, const at_crash_verdict_t *verdict)
{
	const at_crash_blocks_deps_t *deps = &blocks->deps;
	const stored_block_t *stored = find_stored(blocks, verdict->part);
	json_t *value = json_pack("{s:s,s:I,s:b,s:s}", "state",
	    at_cause_state_names[AT_CAUSE_BLOCKED], "crashes",
	    (json_int_t)verdict->crashes, "has_begun", verdict->has_begun,
	    "decided_by", deps->settings->name);
	char *text = json_dumps(value, JSON_COMPACT);
	char name[64];

	json_decref(value);
	if (text == NULL)
		return;
	(void)snprintf(
	    name, sizeof(name), OBJECT_KIND "/%" PRIx64, verdict->part);
	blocks->is_writing = 1;
	blocks->written_part = verdict->part;
	blocks->written_state = verdict->state;
	deps->store.put(deps->store.impl, name,
	    stored == NULL ? 0 : stored->version, text, strlen(text),
	    on_written, blocks);
	free(text);
}

static void
on_removed(void *ctx, const at_store_result_t *result)
{
	at_crash_blocks_t *blocks = ctx;

	(void)result;
	blocks->is_writing = 0;
	blocks->has_read = 0;
}

/* Deletes the object of a block that has expired or was wrong. */
static int
remove_outdated(at_crash_blocks_t *blocks)
{
	const at_crash_blocks_deps_t *deps = &blocks->deps;
	char name[64];
	size_t i;

	for (i = 0; i < blocks->stored_count; i++) {
		const stored_block_t stored = blocks->stored[i];

		if (stored.state != AT_CAUSE_BLOCKED ||
		    at_server_crashes_block_age_us(
			deps->crashes, stored.part) != 0)
			continue;
		blocks->stored[i] = blocks->stored[--blocks->stored_count];
		(void)snprintf(
		    name, sizeof(name), OBJECT_KIND "/%" PRIx64, stored.part);
		blocks->is_writing = 1;
		deps->store.del(
		    deps->store.impl, name, stored.version, on_removed, blocks);
		return 1;
	}
	return 0;
}

static void
check(at_crash_blocks_t *blocks)
{
	write_search_t search = {blocks, NULL};
	uint64_t now_us = at_clock_now_us();

	if (blocks->list_call != NULL || blocks->is_writing ||
	    blocks->deps.is_platform_away(blocks->deps.ctx))
		return;
	if (!blocks->has_read) {
		if (is_holder(blocks) ||
		    blocks->deps.may_read(blocks->deps.ctx))
			list(blocks);
		return;
	}
	/* Another instance may have become the holder and written meanwhile. */
	if (!is_holder(blocks)) {
		blocks->listed_us = 0;
		return;
	}
	at_server_crashes_each(blocks->deps.crashes, consider_verdict, &search);
	if ((search.found != NULL || blocks->stored_count > 0) &&
	    now_us >= blocks->listed_us + LIST_US)
		list(blocks);
	else if (search.found != NULL)
		write_block(blocks, search.found);
	else
		(void)remove_outdated(blocks);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	check(timer->data);
}

at_crash_blocks_t *
at_crash_blocks_new(const at_crash_blocks_deps_t *deps)
{
	at_crash_blocks_t *blocks = calloc(1, sizeof(*blocks));

	if (blocks == NULL)
		return NULL;
	blocks->deps = *deps;
	ev_timer_init(&blocks->timer, on_timer, CHECK_S, CHECK_S);
	blocks->timer.data = blocks;
	return blocks;
}

void
at_crash_blocks_start(at_crash_blocks_t *blocks)
{
	ev_timer_start(blocks->deps.loop, &blocks->timer);
}

void
at_crash_blocks_forget_stored(at_crash_blocks_t *blocks)
{
	blocks->stored_count = 0;
	blocks->has_read = 0;
}

void
at_crash_blocks_delete(at_crash_blocks_t *blocks)
{
	if (blocks == NULL)
		return;
	ev_timer_stop(blocks->deps.loop, &blocks->timer);
	if (blocks->list_call != NULL)
		blocks->deps.objects.cancel(
		    blocks->deps.objects.impl, blocks->list_call);
	free(blocks);
}
