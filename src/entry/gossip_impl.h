/*
 * gossip_impl.h - types shared by the files of gossip: gossip.c has the
 * socket and its timers, report_encode.c encodes reports, report_apply.c
 * applies those of the other instances.
 */
#ifndef ALMONDTHREAD_ENTRY_GOSSIP_IMPL_H
#define ALMONDTHREAD_ENTRY_GOSSIP_IMPL_H

#include "entry/gossip.h"
#include "report.pb-c.h"

#define MAC_SIZE 16u              /* bytes of the keyed hash */
#define DATAGRAM_MAX_BYTES 60000u /* with the keyed hash */
#define USAGE_ENTRIES_MAX 256u    /* workspaces in one report */
#define SERVERS_MAX 24u           /* backend servers in one report */

/* Contents of a report besides its header. */
typedef enum report_kind {
	REPORT_COMMON,  /* loads, queues, usage and the holder's changes */
	REPORT_DEMAND,  /* the same, with demand and adapter requests */
	REPORT_SERVERS, /* changed objects of the list of backend servers */
	REPORT_CONFIG,  /* the configuration */
} report_kind_t;

/* One object of the platform's store that is to be sent. */
typedef struct object_report {
	char *name;
	char *spec; /* JSON text; NULL: the object was deleted */
	uint64_t version;
} object_report_t;

struct at_gossip {
	at_entry_t *entry;
	int fd;
	ev_io readable;
	ev_timer timer;
	ev_timer soon_timer;    /* a report to all instances */
	ev_timer demand_timer;  /* a report to the holder of the lease */
	ev_timer servers_timer; /* changed objects of the list */
	uint64_t sequence;
	uint64_t rounds;
	int is_leaving;
	object_report_t servers[SERVERS_MAX];
	size_t server_count;
	object_report_t config;
	unsigned char datagram[DATAGRAM_MAX_BYTES];
};

/*
 * report_encode() fills the datagram and returns its length in bytes, or 0
 * when the report is too large.
 */
size_t report_encode(at_gossip_t *gossip, report_kind_t kind);
/* report_compute_mac() computes the keyed hash of len bytes. */
void report_compute_mac(const at_gossip_t *gossip, const unsigned char *data,
    size_t len, unsigned char mac[MAC_SIZE]);
/*
 * report_apply_datagram() checks a received datagram of len bytes and applies
 * its report; one that is not valid is counted and dropped.
 */
void report_apply_datagram(at_gossip_t *gossip, size_t len);

#endif
