/*
 * history.h - the most recent refusals of this instance by request id, so that
 * operators can find out why a request was refused.
 */
#ifndef ALMONDTHREAD_DAEMON_HISTORY_H
#define ALMONDTHREAD_DAEMON_HISTORY_H

#include "almondthread/units.h"
#include "almondthread/verdict.h"

#define AT_HISTORY_COUNT 2048u   /* refusals stored */
#define AT_HISTORY_ID_SIZE 40u   /* bytes of an id, with the NUL */
#define AT_HISTORY_PATH_SIZE 64u /* longer paths are truncated */

typedef struct at_history_entry {
	char id[AT_HISTORY_ID_SIZE];
	char path[AT_HISTORY_PATH_SIZE];
	at_reason_t reason;
	at_verdict_t verdict;
	uint64_t refused_at_ms; /* monotonic clock */
} at_history_entry_t;

typedef struct at_history at_history_t;

/* at_history_new() returns an empty history, or NULL if out of memory. */
at_history_t *at_history_new(void);
void at_history_delete(at_history_t *history);

/* at_history_add() stores a refusal in place of the oldest. */
void at_history_add(at_history_t *history, const char *id, const char *path,
    at_reason_t reason, at_verdict_t verdict, uint64_t refused_at_ms);

/* at_history_find() returns the stored refusal of a request, or NULL. */
const at_history_entry_t *at_history_find(
    const at_history_t *history, const char *id);

#endif
