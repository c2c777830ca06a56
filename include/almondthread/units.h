/*
 * units.h - units, limits and identifiers shared by every module.
 *
 * Times are unsigned milliseconds of a monotonic clock unless the name says
 * otherwise. Names are NUL-terminated ASCII of at most AT_NAME_MAX bytes.
 */
#ifndef ALMONDTHREAD_UNITS_H
#define ALMONDTHREAD_UNITS_H

#include <stddef.h>
#include <stdint.h>

#define AT_MS_PER_S 1000u
#define AT_NAME_MAX 63u                /* bytes, without the NUL */
#define AT_NAME_SIZE (AT_NAME_MAX + 1) /* bytes, with the NUL */
#define AT_ADDR_SIZE 64u               /* "ip:port" with the NUL */
#define AT_VALUE_MAX_BYTES (1u << 20)  /* bytes in one platform object */

/* A fixed-size name: instance, data centre, workspace, model, engine. */
typedef struct at_name {
	char text[AT_NAME_SIZE];
} at_name_t;

/*
 * One run of a process: the instance's name and a random number chosen at
 * start. Two runs of the same instance never have the same number.
 */
typedef struct at_incarnation {
	at_name_t instance;
	uint64_t number;
} at_incarnation_t;

/*
 * at_name_set() copies text into name.
 * Returns 0, or -1 when text is empty, too long or holds a byte outside
 * [A-Za-z0-9._:/-]; name is then left empty.
 */
int at_name_set(at_name_t *name, const char *text);

/* at_name_equal() returns non-zero if both names hold the same text. */
int at_name_equal(const at_name_t *a, const at_name_t *b);

#endif
