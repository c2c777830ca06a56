/*
 * engine_memory.h - what the engine stand-in holds, and how it obeys orders.
 * A load takes its memory at once and serves when it is done; an unload
 * stops serving at once and frees its memory when it is done.
 */
#ifndef ALMONDTHREAD_STANDIN_ENGINE_MEMORY_H
#define ALMONDTHREAD_STANDIN_ENGINE_MEMORY_H

#include "standin/standin.h"

typedef struct standin_memory standin_memory_t;

standin_memory_t *standin_memory_new(void);
void standin_memory_set_mb(standin_memory_t *memory, uint64_t mb);
void standin_memory_set_fencing(standin_memory_t *memory, int heeds);
void standin_memory_set_load_ms(standin_memory_t *memory, uint32_t ms);
void standin_memory_add_model(standin_memory_t *memory, const char *model);
void standin_memory_delete(standin_memory_t *memory);

int standin_memory_serves(const standin_memory_t *memory, const char *name);
/* standin_memory_obey() returns the result's name; now in seconds. */
const char *standin_memory_obey(
    standin_memory_t *memory, json_t *order, double now);
/* standin_memory_obey_later() carries an order out at a later time. */
void standin_memory_obey_later(
    standin_memory_t *memory, json_t *order, double at);
/* standin_memory_process() ends loads and unloads that are due. */
void standin_memory_process(standin_memory_t *memory, double now);
/* standin_memory_renew() is a restart that loads again what it held. */
void standin_memory_renew(standin_memory_t *memory);
/* standin_memory_restart() empties it under a new incarnation. */
void standin_memory_restart(standin_memory_t *memory);
/* standin_memory_report() returns the fields of /v1/status. */
json_t *standin_memory_report(const standin_memory_t *memory);

#endif
