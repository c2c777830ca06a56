/*
 * catch_up.h - decides when an instance that lacks changes asks for them, and
 * when it reads the platform itself. Others have them already, so that neither
 * a slow platform nor a long answer of it delays an instance that is behind.
 *
 * Times are passed in, in milliseconds. A zeroed at_catch_up_t lacks nothing.
 */
#ifndef ALMONDTHREAD_CATCH_UP_H
#define ALMONDTHREAD_CATCH_UP_H

#include <stdint.h>

#define AT_CATCH_UP_RETRY_MS 150u /* without progress, another one is asked */
/* Without progress for longer, the platform is read as well, as often. */
#define AT_CATCH_UP_READ_MS 700u

typedef struct at_catch_up {
	uint64_t behind_ms; /* since when it lacks changes; 0: it does not */
	uint64_t ask_ms;    /* when the next instance is asked */
	uint64_t read_ms;   /* when the platform is read */
	uint32_t asked;     /* instances, since it lacks them */
} at_catch_up_t;

typedef enum at_catch_up_step {
	AT_CATCH_UP_WAIT,
	AT_CATCH_UP_ASK,  /* one that has the changes; each time another one */
	AT_CATCH_UP_READ, /* the platform */
	AT_CATCH_UP_STEP_COUNT
} at_catch_up_step_t;

/*
 * at_catch_up_note_behind() states that changes are lacking. If they were not
 * before, they may still arrive by themselves within wait_ms.
 */
void at_catch_up_note_behind(
    at_catch_up_t *catch_up, uint64_t now_ms, uint32_t wait_ms);
/* at_catch_up_note_progress() states that a part of them has arrived. */
void at_catch_up_note_progress(at_catch_up_t *catch_up, uint64_t now_ms);
/* at_catch_up_note_current() states that none is lacking. */
void at_catch_up_note_current(at_catch_up_t *catch_up);
/* at_catch_up_step() returns what to do now. */
at_catch_up_step_t at_catch_up_step(at_catch_up_t *catch_up, uint64_t now_ms);
/* at_catch_up_due_ms() returns when there is a step again; UINT64_MAX: never.
 */
uint64_t at_catch_up_due_ms(const at_catch_up_t *catch_up);

#endif
