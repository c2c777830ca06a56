#include "entry/store/join.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "almondthread/log.h"
#include "almondthread/roster.h"
#include "entry/store/version_record.h"
#include "io/clock.h"

#define RETRY_MIN_S 0.2 /* delay after a failed call */
#define RETRY_MAX_S 3.2 /* the delay doubles up to this limit */

typedef enum join_state {
	JOIN_WRITING, /* writing this instance's object */
	JOIN_READING, /* reading the others' objects */
	JOIN_DONE
} join_state_t;

struct at_join {
	at_join_deps_t deps;
	at_objects_call_t *call;
	join_state_t state;
	uint64_t version; /* of this instance's object; 0: to be created */
	char list_after[AT_NAME_SIZE];
	double retry_s;
	ev_timer timer;
};

static void process(at_join_t *join);

static void
schedule_retry(at_join_t *join, const char *operation, const char *result)
{
	at_log(AT_LOG_WARN, "join", NULL,
	    "instance objects: %s failed; retry scheduled result=%s "
	    "retry_s=%.1f",
	    operation, result, join->retry_s);
	ev_timer_set(&join->timer, join->retry_s, 0.);
	ev_timer_start(join->deps.loop, &join->timer);
	if (join->retry_s < RETRY_MAX_S)
		join->retry_s *= 2;
}

static json_t *
own_value(const at_entry_settings_t *settings)
{
	return json_pack("{s:s,s:s}", "address", settings->peers, "data_centre",
	    settings->data_centre);
}

/* Returns non-zero if the stored object equals the one to be written. */
static int
is_same_value(
    const at_entry_settings_t *settings, const at_store_result_t *result)
{
	json_t *existing =
	    result->value == NULL
		? NULL
		: json_loadb(result->value, result->value_len, 0, NULL);
	json_t *own = own_value(settings);
	int same = existing != NULL && json_equal(existing, own);

	json_decref(existing);
	json_decref(own);
	return same;
}

static void
on_written(void *ctx, const at_store_result_t *result)
{
	at_join_t *join = ctx;

	if (result->code == AT_STORE_CONFLICT &&
	    !is_same_value(join->deps.settings, result)) {
		join->version = result->version;
		process(join);
		return;
	}
	if (result->code != AT_STORE_OK && result->code != AT_STORE_CONFLICT) {
		/* An object that was deleted meanwhile is created again. */
		if (result->code == AT_STORE_NOT_FOUND)
			join->version = 0;
		schedule_retry(
		    join, "write", at_store_code_names[result->code]);
		return;
	}
	join->state = JOIN_READING;
	process(join);
}

static void
add_member(at_join_t *join, const at_object_t *object)
{
	json_t *spec;
	const char *address;
	const char *data_centre;
	at_name_t name;

	if (join->deps.take_other(join->deps.ctx, object->name))
		return;
	spec = object->text == NULL
		   ? NULL
		   : json_loadb(object->text, object->len, 0, NULL);
	address = json_string_value(json_object_get(spec, "address"));
	data_centre = json_string_value(json_object_get(spec, "data_centre"));
	if (address == NULL || data_centre == NULL ||
	    at_name_set(&name, object->name) != 0) {
		at_log(AT_LOG_WARN, "join", NULL,
		    "instance object ignored: no address or data centre "
		    "name=%s",
		    object->name);
	} else {
		(void)at_roster_add(join->deps.roster, &name,
		    at_tag_from_text(data_centre), address, at_clock_now_us());
	}
	json_decref(spec);
}

static void
on_list(void *ctx, const at_objects_page_t *page)
{
	at_join_t *join = ctx;
	size_t i;

	join->call = NULL;
	if (page->code != AT_OBJECTS_OK) {
		schedule_retry(join, "list", at_objects_code_names[page->code]);
		return;
	}
	for (i = 0; i < page->count; i++)
		add_member(join, &page->objects[i]);
	if (page->has_more && page->count > 0) {
		(void)snprintf(join->list_after, sizeof(join->list_after), "%s",
		    page->objects[page->count - 1].name);
		process(join);
		return;
	}
	join->state = JOIN_DONE;
	at_log(AT_LOG_INFO, "join", NULL, "instance objects read instances=%u",
	    at_roster_present_count(join->deps.roster));
}

static void
write_own_object(at_join_t *join)
{
	const at_join_deps_t *deps = &join->deps;
	json_t *value = own_value(deps->settings);
	char *text = json_dumps(value, JSON_COMPACT);
	char name[2 * AT_NAME_SIZE];

	json_decref(value);
	(void)snprintf(
	    name, sizeof(name), AT_INSTANCES_KIND "/%s", deps->settings->name);
	if (text != NULL)
		deps->store.put(deps->store.impl, name, join->version, text,
		    strlen(text), on_written, join);
	free(text);
}

static void
process(at_join_t *join)
{
	if (join->state == JOIN_WRITING)
		write_own_object(join);
	else if (join->state == JOIN_READING && join->call == NULL)
		join->call = join->deps.objects.list(join->deps.objects.impl,
		    AT_INSTANCES_KIND,
		    join->list_after[0] == '\0' ? NULL : join->list_after,
		    on_list, join);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	process(timer->data);
}

at_join_t *
at_join_new(const at_join_deps_t *deps)
{
	at_join_t *join = calloc(1, sizeof(*join));

	if (join == NULL)
		return NULL;
	join->deps = *deps;
	join->retry_s = RETRY_MIN_S;
	ev_timer_init(&join->timer, on_timer, 0., 0.);
	join->timer.data = join;
	return join;
}

void
at_join_start(at_join_t *join)
{
	process(join);
}

void
at_join_repeat(at_join_t *join, uint32_t delay_ms)
{
	if (join->call != NULL)
		join->deps.objects.cancel(join->deps.objects.impl, join->call);
	join->call = NULL;
	join->state = JOIN_WRITING;
	join->version = 0;
	join->list_after[0] = '\0';
	ev_timer_stop(join->deps.loop, &join->timer);
	ev_timer_set(&join->timer, delay_ms / 1e3, 0.);
	ev_timer_start(join->deps.loop, &join->timer);
}

void
at_join_delete(at_join_t *join)
{
	if (join == NULL)
		return;
	ev_timer_stop(join->deps.loop, &join->timer);
	if (join->call != NULL)
		join->deps.objects.cancel(join->deps.objects.impl, join->call);
	free(join);
}

int
at_join_is_complete(const at_join_t *join)
{
	return join->state == JOIN_DONE;
}

static void
on_removed(void *ctx, const at_store_result_t *result)
{
	(void)ctx;
	at_log(AT_LOG_INFO, "join", NULL,
	    "deletion of a removed instance's object ended result=%s",
	    at_store_code_names[result->code]);
}

void
at_join_remove(at_join_t *join, const at_name_t *instance)
{
	const at_store_t *store = &join->deps.store;
	char name[2 * AT_NAME_SIZE];

	(void)snprintf(
	    name, sizeof(name), AT_INSTANCES_KIND "/%s", instance->text);
	store->del(store->impl, name, 0, on_removed, join);
}
