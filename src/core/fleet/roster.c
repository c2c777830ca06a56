#include "almondthread/roster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* In which a reader's next report arrives. */
#define REPORT_MARGIN_US 100000u

typedef struct entry {
	/* Must be first: the address of a member is that of its entry. */
	at_roster_member_t member;
	UT_hash_handle hh;
} entry_t;

struct at_roster {
	at_name_t self;
	at_tag_t self_tag;
	uint32_t strength;
	uint64_t started_ms; /* this instance; 0: not stated */
	uint64_t ends_ms;    /* its grace period; 0: it stays */
	entry_t *table;
	uint64_t settled_us; /* last round */
	uint64_t heard_us;   /* others have been heard since then; 0: not yet */
	/* Data centres of which an instance was removed while silent. */
	at_tag_t lost[AT_ROSTER_LOST_MAX];
	size_t lost_count;
};

at_roster_t *
at_roster_new(const at_name_t *self, uint32_t strength)
{
	at_roster_t *roster = calloc(1, sizeof(*roster));

	if (roster == NULL)
		return NULL;
	roster->self = *self;
	roster->strength = strength;
	roster->self_tag = at_tag_from_text(self->text);
	return roster;
}

void
at_roster_delete(at_roster_t *roster)
{
	entry_t *entry;
	entry_t *next;

	if (roster == NULL)
		return;
	HASH_ITER(hh, roster->table, entry, next)
	{
		HASH_DEL(roster->table, entry);
		free(entry);
	}
	free(roster);
}

void
at_roster_set_started(at_roster_t *roster, uint64_t started_ms)
{
	roster->started_ms = started_ms;
}

void
at_roster_set_ends(at_roster_t *roster, uint64_t ends_ms)
{
	roster->ends_ms = ends_ms;
}

void
at_roster_note_standing(
    at_roster_member_t *member, at_standing_t standing, uint64_t now_us)
{
	if (standing != member->standing)
		member->standing_us = now_us;
	member->standing = standing;
}

at_roster_member_t *
at_roster_add(at_roster_t *roster, const at_name_t *name, at_tag_t data_centre,
    const char *address, uint64_t now_us)
{
	at_tag_t tag = at_tag_from_text(name->text);
	entry_t *entry;

	if (tag == roster->self_tag)
		return NULL;
	HASH_FIND(hh, roster->table, &tag, sizeof(tag), entry);
	if (entry == NULL) {
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL)
			return NULL;
		entry->member.name = *name;
		entry->member.tag = tag;
		entry->member.added_us = now_us;
		HASH_ADD(hh, roster->table, member.tag, sizeof(tag), entry);
	}
	entry->member.data_centre = data_centre;
	(void)snprintf(entry->member.address, sizeof(entry->member.address),
	    "%s", address);
	return &entry->member;
}

int
at_roster_apply_report(at_roster_member_t *member, uint64_t incarnation,
    uint64_t sequence, int is_leaving, uint64_t fence, uint64_t now_us)
{
	if (member->incarnation == incarnation && sequence <= member->sequence)
		return -1;
	member->incarnation = incarnation;
	member->sequence = sequence;
	member->is_leaving = is_leaving;
	member->fence = fence;
	member->reported_us = now_us;
	return 0;
}

void
at_roster_note_reads(at_roster_member_t *member, int reads,
    uint64_t confirmed_us, uint64_t now_us)
{
	if (reads && !member->reads)
		member->reads_since_us = now_us;
	member->reads = reads;
	member->confirmed_us = confirmed_us;
}

void
at_roster_remove(at_roster_t *roster, at_tag_t tag)
{
	entry_t *entry;

	HASH_FIND(hh, roster->table, &tag, sizeof(tag), entry);
	if (entry == NULL)
		return;
	HASH_DEL(roster->table, entry);
	free(entry);
}

static int
is_lost(const at_roster_t *roster, at_tag_t data_centre)
{
	size_t i;

	for (i = 0; i < roster->lost_count; i++) {
		if (roster->lost[i] == data_centre)
			return 1;
	}
	/* There is no room for more, so any may be. */
	return roster->lost_count == AT_ROSTER_LOST_MAX;
}

static void
note_lost(at_roster_t *roster, at_tag_t data_centre)
{
	if (!is_lost(roster, data_centre))
		roster->lost[roster->lost_count++] = data_centre;
}

void
at_roster_expire(at_roster_t *roster, uint64_t now_us,
    void (*on_removed)(void *ctx, const at_roster_member_t *member), void *ctx)
{
	entry_t *entry;
	entry_t *next;

	HASH_ITER(hh, roster->table, entry, next)
	{
		const at_roster_member_t *member = &entry->member;
		uint64_t since_us = member->reported_us > member->added_us
					? member->reported_us
					: member->added_us;
		int is_removed =
		    now_us > since_us + AT_ROSTER_REMOVAL_TIMEOUT_US;

		if (!is_removed &&
		    !(member->is_leaving &&
			now_us > since_us + AT_ROSTER_REPORT_TIMEOUT_US))
			continue;
		if (is_removed) {
			note_lost(roster, member->data_centre);
			on_removed(ctx, member);
		}
		at_roster_remove(roster, member->tag);
	}
}

static int
is_alive(const at_roster_member_t *member, uint64_t now_us)
{
	return member->reported_us != 0 &&
	       now_us - member->reported_us <= AT_ROSTER_REPORT_TIMEOUT_US;
}

static int
is_reporting(const at_roster_member_t *member, uint64_t now_us)
{
	return !member->is_leaving && is_alive(member, now_us);
}

/* A new reader has the time of its first lists. */
static int
reaches_platform(const at_roster_member_t *member, uint64_t now_us)
{
	uint64_t since_us = member->confirmed_us > member->reads_since_us
				? member->confirmed_us
				: member->reads_since_us;
	uint64_t max_us = member->confirmation_max_us + REPORT_MARGIN_US;

	if (max_us < AT_ROSTER_CONFIRMATION_MAX_US)
		max_us = AT_ROSTER_CONFIRMATION_MAX_US;
	return !member->platform_away &&
	       (!member->reads || now_us <= since_us + max_us);
}

uint32_t
at_roster_present_count(const at_roster_t *roster)
{
	const entry_t *entry;
	uint32_t count = 1;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next)
		count += (uint32_t)(entry->member.is_leaving == 0);
	return count;
}

uint32_t
at_roster_reporting_count(const at_roster_t *roster, uint64_t now_us)
{
	const entry_t *entry;
	uint32_t count = 1;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next)
		count += (uint32_t)is_reporting(&entry->member, now_us);
	return count;
}

/* Counts others of a data centre (0: of all) that report, and that just did. */
static void
count_touch(const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us,
    uint32_t *present, uint32_t *reporting, uint32_t *recent)
{
	const entry_t *entry;

	*present = 0;
	*reporting = 0;
	*recent = 0;
	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (member->is_leaving ||
		    (data_centre != 0 && member->data_centre != data_centre))
			continue;
		(*present)++;
		if (!is_reporting(member, now_us))
			continue;
		(*reporting)++;
		*recent += now_us - member->reported_us <= AT_ROSTER_TOUCH_US;
	}
}

int
at_roster_is_in_touch(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us)
{
	uint32_t present;
	uint32_t reporting;
	uint32_t recent;

	count_touch(roster, data_centre, now_us, &present, &reporting, &recent);
	if (present == 0)
		count_touch(roster, 0, now_us, &present, &reporting, &recent);
	return present == 0 || (reporting > 0 && 2u * recent >= reporting);
}

/* Mixes the bits, so that each key orders the instances differently. */
static uint64_t
rendezvous_weight(at_tag_t instance, uint64_t key)
{
	uint64_t h = (instance ^ key) * 0x9e3779b97f4a7c15u;

	h = (h ^ (h >> 32)) * 0xd6e8feb86659fd93u;
	return h ^ (h >> 32);
}

uint32_t
at_roster_rank(const at_roster_t *roster, uint64_t key, uint64_t now_us)
{
	uint64_t own = rendezvous_weight(roster->self_tag, key);
	const entry_t *entry;
	uint32_t rank = 0;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next)
		rank +=
		    (uint32_t)(is_reporting(&entry->member, now_us) &&
			       rendezvous_weight(entry->member.tag, key) > own);
	return rank;
}

uint32_t
at_roster_present_rank(const at_roster_t *roster, uint64_t key)
{
	uint64_t own = rendezvous_weight(roster->self_tag, key);
	const entry_t *entry;
	uint32_t rank = 0;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next)
		rank +=
		    (uint32_t)(!entry->member.is_leaving &&
			       rendezvous_weight(entry->member.tag, key) > own);
	return rank;
}

void
at_roster_settle(at_roster_t *roster, uint64_t now_us)
{
	int has_others = at_roster_present_count(roster) > 1;
	int hears_others = at_roster_reporting_count(roster, now_us) > 1;

	/* It did not run, or hears none of the others. */
	if (now_us > roster->settled_us + AT_ROSTER_REPORT_TIMEOUT_US ||
	    hears_others != has_others)
		roster->heard_us = 0;
	if (roster->heard_us == 0 && hears_others == has_others)
		roster->heard_us = now_us;
	roster->settled_us = now_us;
}

int
at_roster_rank_at(const at_roster_t *roster, at_tag_t own, at_tag_t data_centre,
    uint64_t key, uint64_t now_us, uint32_t *rank, uint32_t *instances)
{
	uint64_t weight = rendezvous_weight(roster->self_tag, key);
	int is_own = own == data_centre;
	uint32_t home = (uint32_t)is_own;
	uint32_t home_rank = 0;
	const entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (member->is_leaving || member->data_centre != data_centre)
			continue;
		home++;
		home_rank +=
		    (uint32_t)(rendezvous_weight(member->tag, key) > weight);
	}
	if (roster->heard_us == 0 ||
	    now_us > roster->settled_us + AT_ROSTER_REPORT_TIMEOUT_US ||
	    now_us < roster->heard_us + AT_ROSTER_REPORT_TIMEOUT_US ||
	    (home > 0 && !is_own) ||
	    (home == (uint32_t)is_own && is_lost(roster, data_centre)) ||
	    !at_roster_is_in_touch(roster, is_own ? own : 0, now_us))
		return 0;
	*rank = is_own ? home_rank : at_roster_present_rank(roster, key);
	*instances = is_own ? home : at_roster_present_count(roster);
	return 1;
}

const at_roster_member_t *
at_roster_lease_holder(const at_roster_t *roster, uint64_t now_us)
{
	const at_roster_member_t *holder = NULL;
	const entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (member->fence != 0 && is_alive(member, now_us) &&
		    (holder == NULL || member->fence > holder->fence))
			holder = member;
	}
	return holder;
}

/* Returns non-zero if another instance has priority over this one. */
static int
has_priority(const at_roster_t *roster, const at_roster_member_t *member)
{
	if (member->strength != roster->strength)
		return member->strength > roster->strength;
	return member->tag < roster->self_tag;
}

/* The strongest instance, and the last start of those that do not stand back.
 */
typedef struct standard {
	uint32_t strength;
	uint64_t started_ms;
} standard_t;

static int
may_stand_by(const at_roster_member_t *member, uint64_t now_us)
{
	return is_reporting(member, now_us) && member->fence == 0 &&
	       member->standing != AT_STANDING_UNABLE;
}

static int
is_strong(uint32_t strength, const standard_t *standard)
{
	return 2u * (uint64_t)strength > standard->strength;
}

static standard_t
find_standard(const at_roster_t *roster, uint64_t now_us)
{
	standard_t standard = {.strength = roster->strength};
	const entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (may_stand_by(member, now_us) &&
		    member->strength > standard.strength)
			standard.strength = member->strength;
	}
	if (is_strong(roster->strength, &standard))
		standard.started_ms = roster->started_ms;
	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (may_stand_by(member, now_us) &&
		    is_strong(member->strength, &standard) &&
		    member->started_ms > standard.started_ms)
			standard.started_ms = member->started_ms;
	}
	return standard;
}

/* Returns non-zero if an instance is among those that restarts reach last. */
static int
is_last_started(
    uint32_t strength, uint64_t started_ms, const standard_t *standard)
{
	return is_strong(strength, standard) &&
	       started_ms + AT_ROSTER_GENERATION_MS >= standard->started_ms;
}

/*
 * What the instances state of their start is compared, so that all come to the
 * same result.
 */
static int
stands_before(const at_roster_t *roster, const at_roster_member_t *member,
    const standard_t *standard)
{
	int other =
	    is_last_started(member->strength, member->started_ms, standard);
	int self =
	    is_last_started(roster->strength, roster->started_ms, standard);

	return other != self ? other : has_priority(roster, member);
}

at_successors_t
at_roster_successors(const at_roster_t *roster, uint64_t now_us)
{
	standard_t standard = find_standard(roster, now_us);
	at_successors_t successors = {0};
	const entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (!is_alive(member, now_us))
			continue;
		successors.leaving += (uint32_t)(member->is_leaving != 0);
		if (!may_stand_by(member, now_us) ||
		    !reaches_platform(member, now_us))
			continue;
		successors.ready++;
		successors.later +=
		    (uint32_t)(is_strong(member->strength, &standard) &&
			       now_us >=
				   member->standing_us + AT_ROSTER_STEADY_US &&
			       member->started_ms >
				   roster->started_ms +
				       AT_ROSTER_GENERATION_MS);
	}
	return successors;
}

/* Returns non-zero if a leaving instance has more time left than this one. */
static int
outlasts(const at_roster_t *roster, const at_roster_member_t *member)
{
	if (member->ends_ms != roster->ends_ms)
		return member->ends_ms > roster->ends_ms;
	return member->tag < roster->self_tag;
}

at_presence_t
at_roster_presence(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us)
{
	at_presence_t presence = {.total = 1};
	const entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (!is_alive(member, now_us) ||
		    (data_centre != 0 && member->data_centre != data_centre))
			continue;
		presence.total++;
		if (member->is_leaving)
			presence.outlast +=
			    (uint32_t)(member->ends_ms != 0 &&
				       outlasts(roster, member));
		else
			presence.ready +=
			    (uint32_t)(member->standing != AT_STANDING_UNABLE);
	}
	return presence;
}

int
at_roster_stands_in(const at_roster_t *roster, uint64_t now_us)
{
	const entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (may_stand_by(member, now_us) &&
		    reaches_platform(member, now_us))
			return 0;
		if (!is_alive(member, now_us) || !member->is_leaving ||
		    member->standing != AT_STANDING_READY || member->fence != 0)
			continue;
		if (outlasts(roster, member))
			return 0;
	}
	return 1;
}

int
at_roster_has_all_demand(
    const at_roster_t *roster, uint64_t since_us, uint64_t now_us)
{
	const entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		if (is_reporting(&entry->member, now_us) &&
		    entry->member.demand_us < since_us)
			return 0;
	}
	return 1;
}

int
at_roster_is_task_owner(const at_roster_t *roster, at_tag_t data_centre,
    int exclude_holder, int platform_away, uint64_t now_us)
{
	standard_t standard = find_standard(roster, now_us);
	const entry_t *entry;
	int other_reaches_platform = 0;
	int is_owner = 1;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (!is_reporting(member, now_us) ||
		    (exclude_holder && !may_stand_by(member, now_us)) ||
		    (data_centre != 0 && member->data_centre != data_centre))
			continue;
		if ((exclude_holder ? stands_before(roster, member, &standard)
				    : has_priority(roster, member)) &&
		    (platform_away || reaches_platform(member, now_us)))
			is_owner = 0;
		other_reaches_platform |= reaches_platform(member, now_us);
	}
	return is_owner && !(platform_away && other_reaches_platform);
}

int
at_roster_has_reader(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us)
{
	const entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (member->data_centre == data_centre && member->reads &&
		    is_reporting(member, now_us) &&
		    reaches_platform(member, now_us))
			return 1;
	}
	return 0;
}

/* An instance in the order of a tree. */
typedef struct ranked {
	at_tag_t tag;
	uint32_t strength;
} ranked_t;

static int
compare_ranked(const void *a, const void *b)
{
	const ranked_t *left = a;
	const ranked_t *right = b;

	if (left->strength != right->strength)
		return left->strength > right->strength ? -1 : 1;
	return left->tag < right->tag ? -1 : left->tag > right->tag;
}

/* The instances of a data centre but root, in the order of its tree. */
static ranked_t *
rank_members(const at_roster_t *roster, at_tag_t data_centre, at_tag_t root,
    uint64_t now_us, size_t *count)
{
	ranked_t *ranked =
	    malloc((HASH_COUNT(roster->table) + 1u) * sizeof(*ranked));
	const entry_t *entry;

	*count = 0;
	if (ranked == NULL)
		return NULL;
	if (roster->self_tag != root)
		ranked[(*count)++] =
		    (ranked_t){roster->self_tag, roster->strength};
	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (member->data_centre == data_centre && member->tag != root &&
		    is_alive(member, now_us))
			ranked[(*count)++] =
			    (ranked_t){member->tag, member->strength};
	}
	qsort(ranked, *count, sizeof(*ranked), compare_ranked);
	return ranked;
}

size_t
at_roster_children(const at_roster_t *roster, at_tag_t data_centre,
    at_tag_t root, at_tag_t children[AT_ROSTER_CHILDREN], uint64_t now_us)
{
	size_t count;
	ranked_t *ranked =
	    rank_members(roster, data_centre, root, now_us, &count);
	size_t first = 0;
	size_t found = 0;
	size_t i;

	if (ranked == NULL)
		return 0;
	if (roster->self_tag != root) {
		for (i = 0; ranked[i].tag != roster->self_tag; i++)
			;
		first = (i + 1) * AT_ROSTER_CHILDREN;
	}
	for (i = first; i < count && found < AT_ROSTER_CHILDREN; i++)
		children[found++] = ranked[i].tag;
	free(ranked);
	return found;
}

const at_roster_member_t *
at_roster_choose_source(const at_roster_t *roster, at_tag_t data_centre,
    uint64_t config_version, uint64_t servers_since, uint64_t draw,
    uint64_t now_us)
{
	const at_roster_member_t *chosen = NULL;
	const entry_t *entry;
	uint64_t best = 0;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;
		uint64_t weight = rendezvous_weight(member->tag, draw) >> 1;

		if (!is_alive(member, now_us) ||
		    member->config_version < config_version ||
		    member->servers_since < servers_since)
			continue;
		if (member->data_centre == data_centre)
			weight |= 1ull << 63;
		if (chosen == NULL || weight > best) {
			chosen = member;
			best = weight;
		}
	}
	return chosen;
}

int
at_roster_note_summarised(at_roster_member_t *member, uint64_t incarnation,
    uint64_t reported_us, uint64_t now_us)
{
	/* Until its own first report, what others know of it counts. */
	if (member->reported_us == 0) {
		member->incarnation = incarnation;
		member->takes_summaries = 1;
	}
	if (member->incarnation != incarnation)
		return -1;
	if (reported_us > member->reported_us)
		member->reported_us = reported_us;
	member->summarised_us = now_us;
	return 0;
}

static int
may_be_gateway(
    const at_roster_member_t *member, at_tag_t data_centre, uint64_t now_us)
{
	return member->data_centre == data_centre && !member->is_leaving &&
	       member->takes_summaries && member->reported_us != 0 &&
	       now_us <= member->reported_us + AT_ROSTER_GATEWAY_TIMEOUT_US;
}

const at_roster_member_t *
at_roster_find_gateway(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us)
{
	const at_roster_member_t *found = NULL;
	const entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		const at_roster_member_t *member = &entry->member;

		if (!may_be_gateway(member, data_centre, now_us))
			continue;
		if (found == NULL || member->strength > found->strength ||
		    (member->strength == found->strength &&
			member->tag < found->tag))
			found = member;
	}
	return found;
}

int
at_roster_is_gateway(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us)
{
	const at_roster_member_t *other =
	    at_roster_find_gateway(roster, data_centre, now_us);

	return other == NULL || !has_priority(roster, other);
}

uint32_t
at_roster_count_outside(
    const at_roster_t *roster, at_tag_t data_centre, uint64_t now_us)
{
	const entry_t *entry;
	uint32_t count = 0;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next)
		count += (uint32_t)(entry->member.data_centre != data_centre &&
				    is_reporting(&entry->member, now_us));
	return count;
}

at_roster_member_t *
at_roster_find(at_roster_t *roster, at_tag_t tag)
{
	entry_t *entry;

	HASH_FIND(hh, roster->table, &tag, sizeof(tag), entry);
	return entry == NULL ? NULL : &entry->member;
}

uint64_t
at_roster_evidence_us(const at_roster_t *roster)
{
	const entry_t *entry;
	uint64_t evidence_us = 0;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		if (entry->member.evidence_us > evidence_us)
			evidence_us = entry->member.evidence_us;
	}
	return evidence_us;
}

/* What an instance passes on, in thousandths of its strength. */
static uint64_t
relay_cost(const at_roster_member_t *member, at_tag_t data_centre)
{
	/* Its report is some hundred milliseconds old. */
	uint64_t relayed = member->relays_open > member->relayed
			       ? member->relays_open
			       : member->relayed;

	if (member->data_centre != data_centre)
		relayed += AT_ROSTER_FAR_RELAYS;
	return (relayed + 1u) * 1000u /
	       (member->strength == 0 ? 1u : member->strength);
}

/* Returns non-zero if a should pass the attempt on rather than b. */
static int
is_better_relay(const at_roster_member_t *a, const at_roster_member_t *b,
    at_tag_t data_centre, at_tag_t except)
{
	if ((a->tag == except) != (b->tag == except))
		return b->tag == except;
	if (a->is_leaving != b->is_leaving)
		return b->is_leaving;
	return relay_cost(a, data_centre) < relay_cost(b, data_centre);
}

at_roster_member_t *
at_roster_choose_relay_where(at_roster_t *roster, at_tag_t data_centre,
    at_tag_t except, int (*is_allowed)(void *ctx, at_tag_t data_centre),
    void *ctx, uint64_t now_us)
{
	at_roster_member_t *best = NULL;
	entry_t *entry;

	for (entry = roster->table; entry != NULL; entry = entry->hh.next) {
		at_roster_member_t *member = &entry->member;

		if (!is_alive(member, now_us) || member->reaches_none ||
		    member->relayed >= AT_ROSTER_RELAYED_MAX ||
		    now_us < member->relay_avoid_until_us ||
		    (is_allowed != NULL &&
			!is_allowed(ctx, member->data_centre)))
			continue;
		if (best == NULL ||
		    is_better_relay(member, best, data_centre, except))
			best = member;
	}
	return best;
}

at_roster_member_t *
at_roster_choose_relay(
    at_roster_t *roster, at_tag_t data_centre, at_tag_t except, uint64_t now_us)
{
	return at_roster_choose_relay_where(
	    roster, data_centre, except, NULL, NULL, now_us);
}

void
at_roster_each(at_roster_t *roster,
    void (*visit)(void *ctx, at_roster_member_t *member), void *ctx)
{
	entry_t *entry;
	entry_t *next;

	HASH_ITER(hh, roster->table, entry, next)
	{
		visit(ctx, &entry->member);
	}
}
