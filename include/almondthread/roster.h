/*
 * roster.h - the entry instances of a deployment as this one knows them: who
 * is present, who is heard, and who should take the lease.
 *
 * Pure: times are passed in, in microseconds.
 */
#ifndef ALMONDTHREAD_ROSTER_H
#define ALMONDTHREAD_ROSTER_H

#include "almondthread/site.h"

/* An instance not heard for so long may be gone or cut off. */
#define AT_ROSTER_REPORT_TIMEOUT_US 1500000u

typedef struct at_roster_member {
	at_name_t name;
	at_tag_t tag;
	at_tag_t data_centre;
	char address[AT_ADDR_SIZE]; /* for datagrams */
	uint64_t incarnation;
	uint64_t sequence;    /* of its last report in that incarnation */
	uint64_t reported_us; /* 0: never */
	uint64_t added_us;    /* when it was first known */
	int is_leaving;
	uint64_t fence;    /* of the lease that it holds; 0: it does not */
	int platform_away; /* it cannot reach the platform */
	uint32_t
	    strength; /* of its machine; shared tasks go to the strongest */
} at_roster_member_t;

typedef struct at_roster at_roster_t;

/* strength is that of this instance's machine, in any fixed unit. */
at_roster_t *at_roster_new(const at_name_t *self, uint32_t strength);
void at_roster_delete(at_roster_t *roster);

/*
 * at_roster_add() notes an instance that the platform names or that was
 * heard; a new address replaces the old one. Returns NULL for this instance
 * itself and without memory.
 */
at_roster_member_t *at_roster_add(at_roster_t *roster, const at_name_t *name,
    at_tag_t data_centre, const char *address, uint64_t now_us);
/*
 * at_roster_apply_report() takes a report's head. Returns 0, or -1 when the
 * report is older than one that was taken before.
 */
int at_roster_apply_report(at_roster_member_t *member, uint64_t incarnation,
    uint64_t sequence, int leaving, uint64_t fence, uint64_t now_us);
void at_roster_remove(at_roster_t *roster, at_tag_t member);

/*
 * at_roster_expire() removes instances that left, and calls gone for those
 * that have been silent for AT_ROSTER_REMOVAL_TIMEOUT_US before it removes
 * them.
 */
#define AT_ROSTER_REMOVAL_TIMEOUT_US 60000000u
void at_roster_expire(at_roster_t *roster, uint64_t now_us,
    void (*gone)(void *ctx, const at_roster_member_t *member), void *ctx);

/* Instances that may be serving, this one included. */
uint32_t at_roster_present_count(const at_roster_t *roster);
/* Those of them that are heard, this one included. */
uint32_t at_roster_reporting_count(const at_roster_t *roster, uint64_t now_us);
/* at_roster_lease_holder() returns who is heard to hold the lease, or NULL. */
const at_roster_member_t *at_roster_lease_holder(
    const at_roster_t *roster, uint64_t now_us);
/*
 * at_roster_is_task_owner() tells whether a shared task is this instance's: it
 * is the strongest of those heard in a data centre (0: in all) that reach the
 * platform, or of all if none does. All that hear each other agree.
 * The holder of the lease is left out where but_holder is set: the first of
 * the others stands by to take it.
 */
int at_roster_is_task_owner(const at_roster_t *roster, at_tag_t data_centre,
    int but_holder, int platform_away, uint64_t now_us);

/* Visits every other instance; visit may remove the one it gets. */
void at_roster_each(at_roster_t *roster,
    void (*visit)(void *ctx, at_roster_member_t *member), void *ctx);

#endif
