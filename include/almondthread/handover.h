/*
 * handover.h - when an instance that shuts down hands the lease over.
 *
 * Where instances are restarted one after the other, those that are left are
 * likely to stop next, and each change of the holder costs some seconds in
 * which nobody places models. So a holder that shuts down keeps the lease until
 * one that has started since could take it, or until it has to go. Where all
 * shut down, one of them stands in.
 */
#ifndef ALMONDTHREAD_HANDOVER_H
#define ALMONDTHREAD_HANDOVER_H

#include "almondthread/roster.h"

/* Left of the grace period beside two calls for the release. */
#define AT_HANDOVER_MARGIN_MS 800u

/* One that leaves acquires the lease only if more than this is left. */
#define AT_HANDOVER_STAND_IN_MS 3000u

typedef struct at_handover {
	uint64_t left_ms; /* of the grace period */
	uint32_t call_ms; /* that a call on the lease has been taking */
	int is_idle;      /* nothing else keeps this instance from its exit */
	at_successors_t successors;
} at_handover_t;

/* at_handover_is_due() returns non-zero if the lease is to be released. */
int at_handover_is_due(const at_handover_t *handover);

#endif
