/*
 * store_era.h - versions of a store that may come back from an older copy of
 * itself. It then states a higher era, and gives out again the revisions that
 * it had given out since the copy.
 *
 * A version has the era in its high bits and the revision in the others, so
 * that whatever is of a later era is newer, and a fencing token is higher. A
 * store that states no era is in era 0, in which a version is the revision.
 */
#ifndef ALMONDTHREAD_STORE_ERA_H
#define ALMONDTHREAD_STORE_ERA_H

#include <stdint.h>

/* Versions are exact in a double, as some JSON libraries read them. */
#define AT_STORE_REVISION_BITS 40u
#define AT_STORE_ERA_MAX 4095u

/* The latest era that is known; zeroed at first. */
typedef struct at_store_era {
	uint64_t era;
	int is_known;
} at_store_era_t;

typedef enum at_era_change {
	AT_ERA_SAME,
	AT_ERA_LATER, /* what the store had acknowledged may be gone */
	AT_ERA_PAST   /* the response is older than one before; drop it */
} at_era_change_t;

/*
 * at_store_era_note() takes the era that a response states; 0: it states none,
 * and AT_STORE_ERA_MAX is not exceeded. The first one is no change.
 */
at_era_change_t at_store_era_note(at_store_era_t *era, uint64_t stated);
/* at_store_era_version() returns 0 for revision 0, which stands for none. */
uint64_t at_store_era_version(const at_store_era_t *era, uint64_t revision);
uint64_t at_store_era_of(uint64_t version);
uint64_t at_store_era_revision(uint64_t version);

#endif
