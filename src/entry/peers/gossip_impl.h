/*
 * gossip_impl.h - types shared by the files of gossip: gossip.c has the
 * socket and its timers, gossip_origins.c the exchange of the origins of
 * streams, gossip_summary.c the summaries between data centres,
 * report_encode.c encodes reports, report_apply.c applies those of the other
 * instances, report_loads.c has the section of loads, queues and usage.
 */
#ifndef ALMONDTHREAD_ENTRY_GOSSIP_IMPL_H
#define ALMONDTHREAD_ENTRY_GOSSIP_IMPL_H

#include "entry/peers/gossip.h"

#define MAC_SIZE 16u              /* bytes of the keyed hash */
#define DATAGRAM_MAX_BYTES 60000u /* with the keyed hash */
#define USAGE_ENTRIES_MAX 256u    /* workspaces in one report */
#define ORIGINS_MAX 150u /* origins in one report, which fits a packet */
#define FORWARDED_ORIGINS_MAX 1024u /* origins in one summary */

struct at_gossip {
	at_gossip_deps_t deps;
	at_report_section_t sections[AT_GOSSIP_SECTIONS_MAX];
	size_t section_count;
	int fd;
	ev_io readable;
	ev_timer timer;
	ev_timer soon_timer;   /* a report to all instances */
	ev_timer demand_timer; /* a report to the holder of the lease */
	uint64_t sequence;
	uint64_t rounds;
	uint64_t round_us; /* when the last one began */
	int is_leaving;
	int is_to_all; /* the report that is encoded goes to all instances */
	at_report_paths_t *paths;
	uint64_t summary_sequence;
	uint64_t task_until_us; /* it has, or had recently, a shared task */
	/* Received in this data centre, for the next summary. */
	at_stream_origin_t forwarded_origins[FORWARDED_ORIGINS_MAX];
	size_t forwarded_origin_count;
	ev_timer origins_timer; /* origins that are not reported yet */
	/* Origins in the next reports of any kind. */
	at_stream_origin_t origins[ORIGINS_MAX];
	size_t origin_count;
	int is_origins_end;      /* they are the last of an answer */
	uint64_t started_us;     /* start of this instance */
	uint32_t answers_wanted; /* with all origins */
	uint64_t answers_wanted_until_us;
	uint64_t requested_us; /* last request for all origins */
	uint32_t members_back; /* that report again, since members_back_us */
	uint64_t members_back_us;
	int was_out_of_contact; /* a newer instance may know more, too */
	unsigned char datagram[DATAGRAM_MAX_BYTES];
};

void gossip_send_datagram(
    at_gossip_t *gossip, const at_roster_member_t *member, size_t len);
/* To which instances of other data centres a report goes. */
typedef enum report_reach {
	REPORT_NEAR,   /* to none */
	REPORT_DIRECT, /* to those that need direct reports */
	REPORT_REST,   /* to the others, and to none of this data centre */
	REPORT_ALL,
} report_reach_t;
/* gossip_send_report() sends a report to all instances but except (0: none). */
void gossip_send_report(at_gossip_t *gossip, at_report_kind_t kind,
    report_reach_t reach, at_tag_t except);
/* gossip_send_near() sends the datagram to all of this data centre. */
void gossip_send_near(at_gossip_t *gossip, const char *kind, size_t len);
/* gossip_count_sent() counts datagrams of len bytes that were sent. */
void gossip_count_sent(
    at_gossip_t *gossip, const char *kind, size_t datagrams, size_t len);
/* gossip_start_timer() does nothing if the timer is active. */
void gossip_start_timer(at_gossip_t *gossip, ev_timer *timer, double after_s);

/* gossip_origins.c */
void origins_init(at_gossip_t *gossip);
/* Adds the origins that are to be reported again to the next reports. */
void origins_add_due(at_gossip_t *gossip);
/* To be called in each round of reports. */
void origins_on_round(at_gossip_t *gossip, uint64_t now_us);
void origins_apply(at_gossip_t *gossip, const Report *report, uint64_t now_us);
/* Asks an instance that reports again what it has noted meanwhile. */
void origins_on_member_back(
    at_gossip_t *gossip, const at_roster_member_t *member, uint64_t now_us);
/* Answers a request for all origins. */
void origins_answer(at_gossip_t *gossip, const at_roster_member_t *member,
    const Report *request);
uint32_t origins_age_ms(const at_gossip_t *gossip);

/* gossip_summary.c */
/* Sends a summary if one is due and this instance is the gateway. */
void summary_on_round(at_gossip_t *gossip, uint32_t instances, uint64_t now_us);
/*
 * Both keep origins for the next summary: new ones that were noted here, and
 * those in a report of this data centre.
 */
void summary_keep_own_origins(at_gossip_t *gossip);
void summary_keep_origins(at_gossip_t *gossip, const Report *report);
/* Applies a report with a summary, and forwards it in this data centre. */
void summary_apply(at_gossip_t *gossip, Report *report, uint64_t now_us);

/* Both fill a message, which borrows nothing. */
void report_fill_load(const at_load_report_t *entry, ReportLoad *load);
void report_fill_queue(const at_queue_report_t *entry, ReportQueue *queue);
/*
 * report_fill_origins() fills messages from count origins, in arrays of as many
 * entries, and returns their number.
 */
size_t report_fill_origins(const at_stream_origin_t *source, size_t count,
    uint64_t *streams, ReportOrigins *origins, ReportOrigins **list);
/* report_pack() fills the datagram; returns its length, or 0 if too large. */
size_t report_pack(at_gossip_t *gossip, const Report *report);
void report_apply_loads(at_gossip_t *gossip, at_tag_t from,
    int is_same_data_centre, size_t count, ReportLoad *const *loads,
    uint64_t now_us);
void report_apply_queues(at_gossip_t *gossip, at_tag_t from, size_t count,
    ReportQueue *const *queues, uint64_t now_us);

/*
 * report_encode() fills the datagram and returns its length in bytes, or 0
 * when the report is too large. fill, which may be NULL, adds to it.
 */
size_t report_encode(at_gossip_t *gossip, at_report_kind_t kind,
    void (*fill)(void *ctx, Report *report), void *ctx);
/* report_compute_mac() computes the keyed hash of len bytes. */
void report_compute_mac(const at_gossip_t *gossip, const unsigned char *data,
    size_t len, unsigned char mac[MAC_SIZE]);
/*
 * report_apply_datagram() checks a received datagram of len bytes and applies
 * its report; one that is not valid is counted and dropped.
 */
void report_apply_datagram(at_gossip_t *gossip, size_t len);

#endif
