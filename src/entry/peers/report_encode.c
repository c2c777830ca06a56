/* report_encode.c - encodes the reports to the other instances. */
#include <sodium.h>

#include "almondthread/log.h"
#include "entry/peers/gossip_impl.h"

/* Memory that the fields of a report point to. */
typedef struct report_buffers {
	uint64_t streams[ORIGINS_MAX];
	ReportOrigins origins[ORIGINS_MAX];
	ReportOrigins *origin_list[ORIGINS_MAX];
} report_buffers_t;

void
report_compute_mac(const at_gossip_t *gossip, const unsigned char *data,
    size_t len, unsigned char mac[MAC_SIZE])
{
	(void)crypto_generichash(mac, MAC_SIZE, data, len,
	    gossip->deps.identity->secret.bytes,
	    sizeof(gossip->deps.identity->secret.bytes));
}

/* Origins of one version are sent together, if they follow one another. */
size_t
report_fill_origins(const at_stream_origin_t *source, size_t count,
    uint64_t *streams, ReportOrigins *origins, ReportOrigins **list)
{
	size_t filled = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		streams[i] = source[i].stream;
		if (filled == 0 ||
		    origins[filled - 1].software != source[i].software) {
			report_origins__init(&origins[filled]);
			origins[filled].software = source[i].software;
			origins[filled].streams = &streams[i];
			list[filled] = &origins[filled];
			filled++;
		}
		origins[filled - 1].n_streams++;
	}
	return filled;
}

static void
fill_origins(
    const at_gossip_t *gossip, report_buffers_t *buffers, Report *report)
{
	report->n_origins =
	    report_fill_origins(gossip->origins, gossip->origin_count,
		buffers->streams, buffers->origins, buffers->origin_list);
	report->origins = buffers->origin_list;
	report->origins_end = gossip->is_origins_end;
}

static void
fill_header(at_gossip_t *gossip, Report *report)
{
	const at_identity_t *identity = gossip->deps.identity;
	const at_entry_settings_t *settings = gossip->deps.settings;

	report->name = (char *)(uintptr_t)identity->self.instance.text;
	report->data_centre = (char *)(uintptr_t)settings->data_centre;
	report->address = (char *)(uintptr_t)settings->peers;
	report->incarnation = identity->self.number;
	report->sequence = ++gossip->sequence;
	report->leaving = gossip->is_leaving;
	report->started_ms = identity->started_ms;
	report->strength = identity->strength;
	report->takes_summaries = 1;
}

static void
fill_sections(at_gossip_t *gossip, at_report_kind_t kind, Report *report)
{
	size_t i;

	for (i = 0; i < gossip->section_count; i++) {
		const at_report_section_t *section = &gossip->sections[i];

		if (section->fill != NULL)
			section->fill(
			    section->ctx, kind, gossip->is_to_all, report);
	}
}

size_t
report_pack(at_gossip_t *gossip, const Report *report)
{
	size_t len = report__get_packed_size(report);

	if (len + MAC_SIZE > DATAGRAM_MAX_BYTES) {
		at_log(AT_LOG_ERROR, "gossip", NULL,
		    "report not sent: larger than a datagram bytes=%zu", len);
		return 0;
	}
	(void)report__pack(report, gossip->datagram + MAC_SIZE);
	report_compute_mac(
	    gossip, gossip->datagram + MAC_SIZE, len, gossip->datagram);
	return len + MAC_SIZE;
}

size_t
report_encode(at_gossip_t *gossip, at_report_kind_t kind,
    void (*fill)(void *ctx, Report *report), void *ctx)
{
	static report_buffers_t buffers;
	Report report = REPORT__INIT;

	fill_origins(gossip, &buffers, &report);
	if (kind == AT_REPORT_ORIGINS) {
		report.origins_data_centre = gossip->deps.identity->data_centre;
		return report_pack(gossip, &report);
	}
	fill_header(gossip, &report);
	fill_sections(gossip, kind, &report);
	report.has_state = kind == AT_REPORT_HEADER;
	report.wants_own_origins = kind == AT_REPORT_OWN_ORIGINS_REQUEST;
	report.wants_origins = kind == AT_REPORT_ORIGINS_REQUEST;
	if (report.wants_origins)
		report.age_ms = origins_age_ms(gossip);
	if (fill != NULL)
		fill(ctx, &report);
	return report_pack(gossip, &report);
}
