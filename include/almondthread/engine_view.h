/*
 * engine_view.h - what an instance knows about one model engine. Placement,
 * orders, routing and the digests between peers share this structure.
 */
#ifndef ALMONDTHREAD_ENGINE_VIEW_H
#define ALMONDTHREAD_ENGINE_VIEW_H

#include "almondthread/units.h"

#define AT_RESIDENTS_MAX 256u /* models and adapters in one view */

/* Phases of inference that an engine is ordered to run. */
typedef enum at_engine_role {
	AT_ROLE_BOTH,
	AT_ROLE_PREFILL,
	AT_ROLE_DECODE,
	AT_ROLE_COUNT
} at_engine_role_t;

/* Names of roles, indexed by at_engine_role_t. */
extern const char *const at_engine_role_names[];

/*
 * A model or adapter in an engine's memory. While it is loaded or unloaded
 * it occupies its memory and serves no requests.
 */
typedef struct at_resident {
	at_name_t model;
	at_name_t adapter; /* empty for a base model */
	uint32_t version;
	int in_transition; /* being loaded or unloaded */
	uint64_t memory_mb;
} at_resident_t;

/*
 * One engine. Loads are those of the last report. report_at_ms is the time
 * of that report by this instance's clock, or 0 when there was none.
 */
typedef struct at_engine_view {
	at_name_t name;
	at_name_t data_centre;
	uint32_t accelerators;
	uint64_t memory_mb;
	at_engine_role_t role;
	at_resident_t *residents;
	size_t resident_count;
	uint32_t running; /* requests being executed */
	uint32_t queued;  /* requests waiting at the engine */
	uint64_t queued_prefill_tokens;
	uint64_t report_at_ms;
	uint64_t incarnation; /* each starts with empty memory */
	int is_leaving;
	int is_suspected; /* it has probably failed */
} at_engine_view_t;

/*
 * at_engine_view_is_serving() returns non-zero if the model or adapter is
 * resident and not in transition.
 */
int at_engine_view_is_serving(const at_engine_view_t *view, const char *name);

#endif
