#include "standin/engine_memory.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"

#define DEFAULT_MEMORY_MB 80000u
#define DEFAULT_MODEL_MB 1000u /* of a model resident at the start */
#define DEFAULT_LOAD_MS 20u    /* duration of a load or an unload */

typedef enum resident_state {
	RESIDENT_LOADING,
	RESIDENT_READY,
	RESIDENT_UNLOADING
} resident_state_t;

static const char *const state_names[] = {"loading", "ready", "unloading"};

/* A model, or an adapter of a model, in memory. */
typedef struct resident {
	struct resident *next;
	char model[AT_NAME_SIZE];
	char adapter[AT_NAME_SIZE];
	uint32_t version;
	uint64_t memory_mb;
	resident_state_t state;
	double due_s; /* end of the load or unload, by the time of the loop */
} resident_t;

/* An order that is carried out later. */
typedef struct delayed_order {
	struct delayed_order *next;
	json_t *order; /* owned */
	double due_s;  /* by the time of the loop */
} delayed_order_t;

struct standin_memory {
	uint64_t memory_mb;
	uint64_t peak_mb;
	uint64_t incarnation;
	int heeds_fencing;
	uint64_t highest_fence;
	uint32_t load_ms;
	resident_t *residents;
	delayed_order_t *delayed;
	uint64_t loads;
	uint64_t unloads;
};

static uint64_t
random_incarnation(void)
{
	at_random_t random = at_random_system();

	return random.next(random.impl) >> 1;
}

standin_memory_t *
standin_memory_new(void)
{
	standin_memory_t *memory = calloc(1, sizeof(*memory));

	memory->memory_mb = DEFAULT_MEMORY_MB;
	memory->load_ms = DEFAULT_LOAD_MS;
	memory->incarnation = random_incarnation();
	return memory;
}

void
standin_memory_set_mb(standin_memory_t *memory, uint64_t mb)
{
	memory->memory_mb = mb;
}

void
standin_memory_set_fencing(standin_memory_t *memory, int heeds_fencing)
{
	memory->heeds_fencing = heeds_fencing;
}

void
standin_memory_set_load_ms(standin_memory_t *memory, uint32_t ms)
{
	memory->load_ms = ms;
}

static void
free_residents(standin_memory_t *memory)
{
	while (memory->residents != NULL) {
		resident_t *next = memory->residents->next;

		free(memory->residents);
		memory->residents = next;
	}
}

void
standin_memory_delete(standin_memory_t *memory)
{
	free_residents(memory);
	while (memory->delayed != NULL) {
		delayed_order_t *next = memory->delayed->next;

		json_decref(memory->delayed->order);
		free(memory->delayed);
		memory->delayed = next;
	}
	free(memory);
}

void
standin_memory_new_incarnation(standin_memory_t *memory)
{
	memory->incarnation = random_incarnation();
}

void
standin_memory_restart(standin_memory_t *memory)
{
	free_residents(memory);
	memory->highest_fence = 0;
	memory->incarnation = random_incarnation();
}

static uint64_t
used_mb(const standin_memory_t *memory)
{
	const resident_t *resident;
	uint64_t sum_mb = 0;

	for (resident = memory->residents; resident != NULL;
	     resident = resident->next)
		sum_mb += resident->memory_mb;
	return sum_mb;
}

static resident_t *
find_resident(
    const standin_memory_t *memory, const char *model, const char *adapter)
{
	resident_t *resident;

	for (resident = memory->residents; resident != NULL;
	     resident = resident->next) {
		if (strcmp(resident->model, model) == 0 &&
		    strcmp(resident->adapter, adapter) == 0)
			return resident;
	}
	return NULL;
}

int
standin_memory_is_serving(const standin_memory_t *memory, const char *name)
{
	const resident_t *resident;

	for (resident = memory->residents; resident != NULL;
	     resident = resident->next) {
		const char *served_name =
		    resident->adapter[0] ? resident->adapter : resident->model;

		if (resident->state == RESIDENT_READY &&
		    strcmp(served_name, name) == 0)
			return 1;
	}
	return 0;
}

static resident_t *
add_resident(standin_memory_t *memory, const char *model, const char *adapter,
    uint32_t version, uint64_t memory_mb)
{
	resident_t *resident = calloc(1, sizeof(*resident));

	(void)snprintf(resident->model, sizeof(resident->model), "%s", model);
	(void)snprintf(
	    resident->adapter, sizeof(resident->adapter), "%s", adapter);
	resident->version = version;
	resident->memory_mb = memory_mb;
	resident->state = RESIDENT_READY;
	resident->next = memory->residents;
	memory->residents = resident;
	if (used_mb(memory) > memory->peak_mb)
		memory->peak_mb = used_mb(memory);
	return resident;
}

void
standin_memory_add_model(standin_memory_t *memory, const char *model)
{
	(void)add_resident(memory, model, "", 1, DEFAULT_MODEL_MB);
}

static void
apply_load(standin_memory_t *memory, json_t *order, double due_s)
{
	const char *model = standin_json_text(order, "model");
	const char *adapter = standin_json_text(order, "adapter");
	resident_t *resident;

	if (find_resident(memory, model, adapter) != NULL)
		return;
	resident = add_resident(memory, model, adapter,
	    (uint32_t)standin_json_number(order, "version", 0),
	    standin_json_number(order, "memory_mb", 0));
	resident->state = RESIDENT_LOADING;
	resident->due_s = due_s;
	memory->loads++;
}

static void
apply_unload(standin_memory_t *memory, json_t *order, double due_s)
{
	resident_t *resident =
	    find_resident(memory, standin_json_text(order, "model"),
		standin_json_text(order, "adapter"));

	if (resident == NULL || resident->state == RESIDENT_UNLOADING)
		return;
	resident->state = RESIDENT_UNLOADING;
	resident->due_s = due_s;
	memory->unloads++;
}

const char *
standin_memory_apply_order(
    standin_memory_t *memory, json_t *order, double now_s)
{
	const char *kind = standin_json_text(order, "kind");
	uint64_t fence = standin_json_number(order, "fence", 0);
	double due_s = now_s + (double)memory->load_ms / AT_MS_PER_S;

	if (memory->heeds_fencing && fence < memory->highest_fence)
		return "fenced";
	if (fence > memory->highest_fence)
		memory->highest_fence = fence;
	if (strncmp(kind, "load_", 5) == 0)
		apply_load(memory, order, due_s);
	else if (strncmp(kind, "unload_", 7) == 0)
		apply_unload(memory, order, due_s);
	else
		return "refused";
	return "done";
}

void
standin_memory_schedule_order(
    standin_memory_t *memory, json_t *order, double due_s)
{
	delayed_order_t *delayed = calloc(1, sizeof(*delayed));

	delayed->order = json_incref(order);
	delayed->due_s = due_s;
	delayed->next = memory->delayed;
	memory->delayed = delayed;
}

static void
process_delayed(standin_memory_t *memory, double now_s)
{
	delayed_order_t **link = &memory->delayed;

	while (*link != NULL) {
		delayed_order_t *delayed = *link;

		if (now_s < delayed->due_s) {
			link = &delayed->next;
			continue;
		}
		*link = delayed->next;
		(void)standin_memory_apply_order(memory, delayed->order, now_s);
		json_decref(delayed->order);
		free(delayed);
	}
}

void
standin_memory_process(standin_memory_t *memory, double now_s)
{
	resident_t **link = &memory->residents;

	process_delayed(memory, now_s);
	while (*link != NULL) {
		resident_t *resident = *link;

		if (resident->state == RESIDENT_LOADING &&
		    now_s >= resident->due_s)
			resident->state = RESIDENT_READY;
		if (resident->state != RESIDENT_UNLOADING ||
		    now_s < resident->due_s) {
			link = &resident->next;
			continue;
		}
		*link = resident->next;
		free(resident);
	}
}

json_t *
standin_memory_status(const standin_memory_t *memory)
{
	json_t *list = json_array();
	const resident_t *resident;

	for (resident = memory->residents; resident != NULL;
	     resident = resident->next)
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:I,s:I,s:s}", "model",
			      resident->model, "adapter", resident->adapter,
			      "version", (json_int_t)resident->version,
			      "memory_mb", (json_int_t)resident->memory_mb,
			      "state", state_names[resident->state]));
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "memory_mb",
	    (json_int_t)memory->memory_mb, "used_mb",
	    (json_int_t)used_mb(memory), "peak_mb", (json_int_t)memory->peak_mb,
	    "incarnation", (json_int_t)memory->incarnation, "loads",
	    (json_int_t)memory->loads, "unloads", (json_int_t)memory->unloads,
	    "resident", list);
}
