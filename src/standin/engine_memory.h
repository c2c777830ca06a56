/*
 * engine_memory.h - the models and adapters in the memory of the engine
 * stand-in, and the orders that load and unload them. A load reserves its
 * memory at once, and the model is served when the load has ended. An unload
 * stops serving at once and frees the memory when it has ended. The size of
 * the memory is reported but not enforced: used_mb and peak_mb show a test
 * whether orders exceeded it.
 */
#ifndef ALMONDTHREAD_STANDIN_ENGINE_MEMORY_H
#define ALMONDTHREAD_STANDIN_ENGINE_MEMORY_H

#include "standin/standin.h"

typedef struct standin_memory standin_memory_t;

/*
 * standin_memory_new() returns an empty memory with a random incarnation, to
 * be released by standin_memory_delete().
 */
standin_memory_t *standin_memory_new(void);
void standin_memory_set_mb(standin_memory_t *memory, uint64_t mb);
/*
 * standin_memory_set_fencing() makes it refuse orders whose fencing token is
 * lower than the highest one seen.
 */
void standin_memory_set_fencing(standin_memory_t *memory, int heeds_fencing);
/* standin_memory_set_load_ms() sets the duration of a load or an unload. */
void standin_memory_set_load_ms(standin_memory_t *memory, uint32_t ms);
/* standin_memory_add_model() adds a resident model of 1000 MB. */
void standin_memory_add_model(standin_memory_t *memory, const char *model);
void standin_memory_delete(standin_memory_t *memory);

/*
 * standin_memory_is_serving() returns 1 if the model or adapter of this name
 * is loaded, else 0.
 */
int standin_memory_is_serving(const standin_memory_t *memory, const char *name);
/*
 * standin_memory_apply_order() carries out an order. now_s is the time of the
 * loop. Returns the result for the response: "done", "refused" for
 * an unknown kind, or "fenced" for a fencing token that is too low. An order
 * that has nothing to change is "done".
 */
const char *standin_memory_apply_order(
    standin_memory_t *memory, json_t *order, double now_s);
/*
 * standin_memory_schedule_order() carries out an order when the time of the
 * loop is due_s. It takes a reference of its own to order.
 */
void standin_memory_schedule_order(
    standin_memory_t *memory, json_t *order, double due_s);
/*
 * standin_memory_process() carries out the scheduled orders that are due and
 * ends the loads and unloads that are.
 */
void standin_memory_process(standin_memory_t *memory, double now_s);
/*
 * standin_memory_new_incarnation() is a restart after which the same models
 * and adapters are resident.
 */
void standin_memory_new_incarnation(standin_memory_t *memory);
/* standin_memory_restart() empties the memory and starts a new incarnation. */
void standin_memory_restart(standin_memory_t *memory);
/*
 * standin_memory_status() returns the fields of /v1/status that concern the
 * memory. The caller owns the object.
 */
json_t *standin_memory_status(const standin_memory_t *memory);

#endif
