/*
 * roster.h - the entry instances of a deployment as this one knows them:
 * which are present, which are reporting, and which owns a shared task such
 * as acquiring the lease.
 *
 * Times are passed in, in microseconds.
 */
#ifndef ALMONDTHREAD_ROSTER_H
#define ALMONDTHREAD_ROSTER_H

#include "almondthread/site.h"

/* A reader that reports no confirmation for longer is replaced. */
#define AT_ROSTER_CONFIRMATION_MAX_US 1300000u
/* An instance that is silent for longer may have stopped or be cut off. */
#define AT_ROSTER_REPORT_TIMEOUT_US 1500000u

/* Instances whose starts are further apart were not started together. */
#define AT_ROSTER_GENERATION_MS 3000u

#define AT_ROSTER_STEADY_US 1000000u

/* Whether an instance could acquire the lease. */
typedef enum at_standing {
	AT_STANDING_UNKNOWN, /* it does not state it */
	AT_STANDING_READY,
	AT_STANDING_UNABLE,
	AT_STANDING_COUNT
} at_standing_t;

typedef struct at_roster_member {
	at_name_t name;
	at_tag_t tag;
	at_tag_t data_centre;
	char address[AT_ADDR_SIZE]; /* for datagrams */
	uint64_t incarnation;
	uint64_t sequence;    /* of its last report, in this incarnation */
	uint64_t reported_us; /* 0: never */
	uint64_t added_us;    /* when it was added */
	int is_leaving;
	uint64_t fence; /* fencing token of its lease; 0: it has none */
	at_standing_t standing;
	uint64_t standing_us; /* since when it states that it could */
	uint64_t ends_ms; /* of its grace period, as started_ms; 0: it stays */
	uint64_t demand_us;  /* when it last reported its demand */
	uint64_t started_ms; /* in ms since 1970, by its clock; 0: not stated */
	int platform_away;   /* its calls to the platform fail */
	uint32_t strength; /* of its machine; the strongest owns shared tasks */
	int reads;         /* it reads the platform's lists */
	uint64_t reads_since_us;
	uint64_t confirmed_us; /* when the platform last responded to it */
	/* The time without that in which it goes on reading; 0: not stated. */
	uint64_t confirmation_max_us;
	uint64_t config_version; /* of the configuration that it has */
	/* Version of the platform up to which it has all changes of servers. */
	uint64_t servers_since;
	int reaches_none;     /* it reaches no backend server */
	uint64_t evidence_us; /* when it last reached one; 0: unknown */
	/* Attempts of other instances that it passes on. */
	uint32_t relayed;
	uint32_t relays_open;          /* those of this instance */
	uint64_t relay_avoid_until_us; /* it has failed or refused one */
	int takes_summaries;
	uint64_t summarised_us; /* it was in a summary; 0: never */
	int has_direct_load;    /* its loads are not those of a summary */
} at_roster_member_t;

typedef struct at_roster at_roster_t;

/*
 * at_roster_new() returns NULL if out of memory. strength is the capacity of
 * this instance's machine, in the same unit at all instances.
 */
at_roster_t *at_roster_new(const at_name_t *self, uint32_t strength);
void at_roster_delete(at_roster_t *roster);
/*
 * at_roster_set_started() states when this instance has started,
 * at_roster_set_ends() when its grace period ends, both in ms since 1970.
 */
void at_roster_set_started(at_roster_t *roster, uint64_t started_ms);
void at_roster_set_ends(at_roster_t *roster, uint64_t ends_ms);

/*
 * at_roster_add() adds an instance that the platform lists or that sent a
 * report; a new address replaces the old one. Returns NULL for this instance
 * itself or if out of memory.
 */
at_roster_member_t *at_roster_add(at_roster_t *roster, const at_name_t *name,
    at_tag_t data_centre, const char *address, uint64_t now_us);
/*
 * at_roster_apply_report() takes the header of a report. Returns 0, or -1
 * when a newer report has been taken.
 */
int at_roster_apply_report(at_roster_member_t *member, uint64_t incarnation,
    uint64_t sequence, int is_leaving, uint64_t fence, uint64_t now_us);
/*
 * at_roster_note_summarised() takes what a summary states of an instance, whose
 * last report reached the gateway at reported_us. Returns 0, or -1 if the last
 * report from there was of another incarnation.
 */
int at_roster_note_summarised(at_roster_member_t *member, uint64_t incarnation,
    uint64_t reported_us, uint64_t now_us);
/*
 * at_roster_find_gateway() returns the instance that exchanges summaries for
 * another data centre, or NULL. at_roster_is_gateway() returns non-zero if this
 * instance does for its own. Both are the strongest of those that have reported
 * within AT_ROSTER_GATEWAY_TIMEOUT_US and do not leave; instances may disagree
 * for a moment, and two summaries are harmless. at_roster_count_outside()
 * counts the reporting instances of other data centres.
 */
#define AT_ROSTER_GATEWAY_TIMEOUT_US 400000u
const at_roster_member_t *at_roster_find_gateway(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us);
int at_roster_is_gateway(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us);
uint32_t at_roster_count_outside(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us);
/*
 * at_roster_note_reads() records whether an instance reads the platform's lists
 * and when the platform last confirmed to it that they are complete.
 */
void at_roster_note_reads(at_roster_member_t *member, int reads,
    uint64_t confirmed_us, uint64_t now_us);
void at_roster_remove(at_roster_t *roster, at_tag_t tag);

/*
 * at_roster_expire() removes instances that have left, and those that have
 * been silent for AT_ROSTER_REMOVAL_TIMEOUT_US after calling on_removed for
 * each.
 */
#define AT_ROSTER_REMOVAL_TIMEOUT_US 60000000u
void at_roster_expire(at_roster_t *roster, uint64_t now_us,
    void (*on_removed)(void *ctx, const at_roster_member_t *member), void *ctx);

/*
 * at_roster_children() stores the tags of the instances of this data centre to
 * which this one passes a document on that root spreads, at most
 * AT_ROSTER_CHILDREN, and returns their number. The instances form a tree with
 * that many branches at each, the strongest next to the root. Where two
 * instances know others of each other, one may get a document twice or not at
 * all.
 */
#define AT_ROSTER_CHILDREN 4u
size_t at_roster_children(const at_roster_t *roster, at_tag_t data_centre,
    at_tag_t root, at_tag_t children[AT_ROSTER_CHILDREN], uint64_t now_us);
/*
 * at_roster_choose_source() returns a reporting instance that has this version
 * of the configuration, and all changes of servers up to servers_since, or
 * newer: one of this data centre if there is one. draw selects among them.
 * NULL if there is none.
 */
const at_roster_member_t *at_roster_choose_source(const at_roster_t *roster,
    at_tag_t data_centre, uint64_t config_version, uint64_t servers_since,
    uint64_t draw, uint64_t now_us);

/*
 * at_roster_present_count() returns the number of instances that may be
 * serving, this one included.
 */
uint32_t at_roster_present_count(const at_roster_t *roster);
/*
 * at_roster_reporting_count() returns how many of them are reporting, this one
 * included.
 */
uint32_t at_roster_reporting_count(const at_roster_t *roster, uint64_t now_us);
/*
 * at_roster_is_in_touch() returns whether at least half of the other instances
 * of the data centre, or of all if it has no other one, have reported within
 * AT_ROSTER_TOUCH_US: what they have told the others has then arrived here,
 * too. It is zero where there are others and none reports, non-zero without
 * any.
 */
#define AT_ROSTER_TOUCH_US 500000u
int at_roster_is_in_touch(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us);
/*
 * Who may send to the engines of a data centre where instances must agree on
 * it. at_roster_settle() is called in each round of reports.
 * at_roster_rank_at() returns non-zero if this instance, of the data centre
 * own, may be among those for data_centre, with its rank among the instances in
 * an order that a hash of key gives. These are the instances of data_centre
 * that may be serving, silent ones included, so that instances which cannot
 * hear each other agree for AT_ROSTER_REMOVAL_TIMEOUT_US. Those of other data
 * centres are only if none is there and none was lost. It returns zero without
 * recent reports of the others, and for AT_ROSTER_REPORT_TIMEOUT_US after the
 * first one since a start or an interruption.
 */
#define AT_ROSTER_LOST_MAX 16u
void at_roster_settle(at_roster_t *roster, uint64_t now_us);
int at_roster_rank_at(const at_roster_t *roster, at_tag_t own,
    at_tag_t data_centre, uint64_t key, uint64_t now_us, uint32_t *rank,
    uint32_t *instances);
/*
 * at_roster_lease_holder() returns who reports to hold the lease, which may
 * leave, or NULL.
 */
const at_roster_member_t *at_roster_lease_holder(
    const at_roster_t *roster, uint64_t now_us);
/*
 * at_roster_is_task_owner() returns non-zero if this instance owns a shared
 * task: it is the strongest of the reporting instances of a data centre (0: of
 * all) that reach the platform, or of all reporting instances if none does.
 * Instances that receive each other's reports agree. With exclude_holder, the
 * lease holder and those that are unable are left out: the owner is then the
 * instance that stands by to acquire the lease, the strongest of those that
 * have started within AT_ROSTER_GENERATION_MS of the last start. A restart
 * under way reaches these last. Those half as strong as the strongest of all,
 * or less, stand back. platform_away states that this instance's calls to the
 * platform fail.
 */
int at_roster_is_task_owner(const at_roster_t *roster, at_tag_t data_centre,
    int exclude_holder, int platform_away, uint64_t now_us);

/*
 * at_roster_has_all_demand() returns non-zero if all reporting instances have
 * reported their demand since since_us.
 */
int at_roster_has_all_demand(
    const at_roster_t *roster, uint64_t since_us, uint64_t now_us);

/* at_roster_note_standing() records what an instance states. */
void at_roster_note_standing(
    at_roster_member_t *member, at_standing_t standing, uint64_t now_us);
/*
 * at_roster_stands_in() returns non-zero if this instance, which leaves, should
 * acquire the lease, since all others leave, too, or are unable, and it has
 * most time left of those that leave.
 */
int at_roster_stands_in(const at_roster_t *roster, uint64_t now_us);

/*
 * Instances that are there: how many serve requests, this one not included,
 * how many of those that leave do so after this one, and how many are known
 * at all, with it.
 */
typedef struct at_presence {
	uint32_t ready;
	uint32_t outlast;
	uint32_t total;
} at_presence_t;

/* at_roster_presence() counts those of a data centre, or of all for 0. */
at_presence_t at_roster_presence(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us);

/* Who could take the lease over from this instance, which leaves. */
typedef struct at_successors {
	uint32_t ready; /* instances that could, and do not leave */
	/*
	 * Those of them that were started after this one and have been ready
	 * for AT_ROSTER_STEADY_US.
	 */
	uint32_t later;
	uint32_t leaving; /* others that leave */
} at_successors_t;

at_successors_t at_roster_successors(
    const at_roster_t *roster, uint64_t now_us);

/*
 * at_roster_rank() returns how many of the other reporting instances come
 * before this one in the order that a hash of key gives them. Instances that
 * receive each other's reports agree on the order.
 */
uint32_t at_roster_rank(
    const at_roster_t *roster, uint64_t key, uint64_t now_us);

/*
 * at_roster_present_rank() returns the same among all instances that may be
 * serving, of which there are at_roster_present_count().
 */
uint32_t at_roster_present_rank(const at_roster_t *roster, uint64_t key);

/*
 * at_roster_choose_relay() returns the instance that should pass on an attempt
 * of this one, which reaches no backend server, or NULL if none can: the one
 * that passes on least for its strength, where one of another data centre
 * counts as if it passed on AT_ROSTER_FAR_RELAYS more. One that leaves is
 * chosen only if there is no other, and the instance except (0: none) only if
 * there is none of these. at_roster_choose_relay_where() chooses one of those
 * in the data centres for which is_allowed() returns non-zero.
 */
#define AT_ROSTER_RELAYED_MAX 192u /* attempts that one instance passes on */
#define AT_ROSTER_FAR_RELAYS 8u
at_roster_member_t *at_roster_choose_relay(at_roster_t *roster,
    at_tag_t data_centre, at_tag_t except, uint64_t now_us);
at_roster_member_t *at_roster_choose_relay_where(at_roster_t *roster,
    at_tag_t data_centre, at_tag_t except,
    int (*is_allowed)(void *ctx, at_tag_t data_centre), void *ctx,
    uint64_t now_us);
/* at_roster_find() returns an instance, or NULL. */
at_roster_member_t *at_roster_find(at_roster_t *roster, at_tag_t tag);
/*
 * at_roster_evidence_us() returns when another instance last reached a backend
 * server, or 0.
 */
uint64_t at_roster_evidence_us(const at_roster_t *roster);

/*
 * at_roster_has_reader() returns non-zero if another reporting instance of a
 * data centre reads the platform's lists and reaches the platform.
 */
int at_roster_has_reader(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us);

/*
 * at_roster_each() visits every other instance; visit may remove the one that
 * it is given.
 */
void at_roster_each(at_roster_t *roster,
    void (*visit)(void *ctx, at_roster_member_t *member), void *ctx);

#endif
