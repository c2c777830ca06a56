/*
 * introductions.h - a way to the other instances without the platform: an
 * instance that has started asks its seeds, and learns from each answer whom it
 * should report to. They answer it with their own reports, like any instance.
 */
#ifndef ALMONDTHREAD_ENTRY_INTRODUCTIONS_H
#define ALMONDTHREAD_ENTRY_INTRODUCTIONS_H

#include "entry/peers/gossip.h"

typedef struct at_introductions at_introductions_t;

/* What it needs, borrowed. */
typedef struct at_introductions_deps {
	at_counters_t *counters;
	const at_entry_settings_t *settings;
	at_rng_t *rng;
	at_roster_t *roster;
	at_gossip_t *gossip;
	/* Non-zero once the platform has listed the instances. */
	int (*is_listed)(void *ctx);
	void *ctx;
} at_introductions_deps_t;

/* at_introductions_new() returns NULL if out of memory. */
at_introductions_t *at_introductions_new(const at_introductions_deps_t *deps);
/*
 * at_introductions_init() reads the seeds of the settings. Returns AT_INVALID
 * if one is not an address.
 */
at_code_t at_introductions_init(
    at_introductions_t *introductions, at_status_t *status);
void at_introductions_delete(at_introductions_t *introductions);
/* at_introductions_section() returns its section of the reports. */
at_report_section_t at_introductions_section(at_introductions_t *introductions);

#endif
