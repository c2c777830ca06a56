/* report_apply.c - applies the reports of the other instances. */
#include <string.h>

#include <sodium.h>

#include "almondthread/log.h"
#include "entry/peers/gossip_impl.h"
#include "io/clock.h"

#define US_PER_MS 1000u

/* Returns when the platform confirmed the reader's lists, or 0 if unknown. */
static uint64_t
confirmed_us(const Report *report, uint64_t now_us)
{
	uint64_t age_ms = report->read_age_ms;

	return age_ms < now_us / US_PER_MS ? now_us - age_ms * US_PER_MS : 0;
}

/* What the instances know of each other, whatever parts they have. */
static void
apply_header(at_roster_member_t *member, const Report *report, uint64_t now_us)
{
	member->platform_away = report->platform_away;
	member->strength = report->strength;
	member->started_ms = report->started_ms;
	at_roster_note_standing(member,
	    report->standing < AT_STANDING_COUNT
		? (at_standing_t)report->standing
		: AT_STANDING_UNKNOWN,
	    now_us);
	member->ends_ms = report->ends_ms;
	member->takes_summaries = report->takes_summaries;
	member->config_version = report->config_version;
	member->servers_since = report->servers_since;
	member->confirmation_max_us = report->read_age_max_ms * US_PER_MS;
	at_roster_note_reads(
	    member, report->reads, confirmed_us(report, now_us), now_us);
	if (report->has_loads || report->has_state)
		member->relayed = report->relayed;
}

static void
apply_unordered(at_gossip_t *gossip, const Report *report)
{
	size_t i;

	for (i = 0; i < gossip->section_count; i++) {
		const at_report_section_t *section = &gossip->sections[i];

		if (section->apply_unordered != NULL)
			section->apply_unordered(section->ctx, report);
	}
}

static void
apply_sections(
    at_gossip_t *gossip, at_roster_member_t *member, const Report *report)
{
	size_t i;

	for (i = 0; i < gossip->section_count; i++) {
		const at_report_section_t *section = &gossip->sections[i];

		if (section->apply != NULL)
			section->apply(section->ctx, member, report);
	}
}

static void
apply_report(at_gossip_t *gossip, Report *report)
{
	uint64_t now_us = at_clock_now_us();
	at_roster_member_t *member;
	uint64_t last_us;
	at_name_t name;

	/* These do not depend on the order of the reports. */
	origins_apply(gossip, report, now_us);
	apply_unordered(gossip, report);
	if (report->origins_data_centre != 0)
		summary_keep_origins(gossip, report);
	if (report->summary != NULL) {
		summary_apply(gossip, report, now_us);
		return;
	}
	if (at_name_set(&name, report->name) != 0)
		return;
	member = at_roster_add(gossip->deps.roster, &name,
	    at_tag_from_text(report->data_centre), report->address, now_us);
	if (member == NULL)
		return;
	if (member->incarnation != report->incarnation)
		at_log(AT_LOG_INFO, "roster", NULL,
		    "first report of this incarnation instance=%s address=%s "
		    "data_centre=%s",
		    name.text, report->address, report->data_centre);
	last_us = member->reported_us;
	if (at_roster_apply_report(member, report->incarnation,
		report->sequence, report->leaving, report->fence, now_us) != 0)
		return;
	if (last_us != 0 && now_us - last_us > AT_ROSTER_REPORT_TIMEOUT_US)
		origins_on_member_back(gossip, member, now_us);
	if (report->wants_origins || report->wants_own_origins)
		origins_answer(gossip, member, report);
	apply_header(member, report, now_us);
	apply_sections(gossip, member, report);
}

void
report_apply_datagram(at_gossip_t *gossip, size_t len)
{
	unsigned char mac[MAC_SIZE];
	Report *report = NULL;

	if (len < MAC_SIZE)
		return;
	report_compute_mac(
	    gossip, gossip->datagram + MAC_SIZE, len - MAC_SIZE, mac);
	if (sodium_memcmp(mac, gossip->datagram, MAC_SIZE) == 0)
		report = report__unpack(
		    NULL, len - MAC_SIZE, gossip->datagram + MAC_SIZE);
	if (report == NULL) {
		at_counters_add(gossip->deps.counters, "reports_rejected_total",
		    NULL, NULL, 1);
		return;
	}
	apply_report(gossip, report);
	report__free_unpacked(report, NULL);
}
