#include "entry/store/version_record.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "almondthread/stream_origins.h"
#include "io/clock.h"

#define NAME_FORMAT "software-%016" PRIx64 "-%016" PRIx64
#define CHECK_INTERVAL_US 1000000u

struct at_version_record {
	at_version_record_deps_t deps;
	uint64_t checked_us;
	/* Of the open call; one at a time. */
	int is_calling;
	int is_deletion;
	at_stream_version_t version;
};

at_version_record_t *
at_version_record_new(const at_version_record_deps_t *deps)
{
	at_version_record_t *record = calloc(1, sizeof(*record));

	if (record != NULL)
		record->deps = *deps;
	return record;
}

void
at_version_record_delete(at_version_record_t *record)
{
	free(record);
}

int
at_version_record_apply(at_version_record_t *record, const char *name)
{
	at_stream_origins_t *origins = record->deps.origins;
	at_tag_t service;
	at_tag_t software;
	int end = 0;

	if (sscanf(name, "software-%16" SCNx64 "-%16" SCNx64 "%n", &service,
		&software, &end) != 2 ||
	    name[end] != '\0')
		return 0;
	at_stream_origins_note_listed(
	    origins, service, software, at_clock_now_us());
	at_stream_origins_set_recorded(origins, service, software, 1);
	return 1;
}

static void
on_called(void *ctx, const at_store_result_t *result)
{
	at_version_record_t *record = ctx;
	/* Another holder may have done it. */
	int is_done = result->code == AT_STORE_OK ||
		      result->code == (record->is_deletion ? AT_STORE_NOT_FOUND
							   : AT_STORE_CONFLICT);

	record->is_calling = 0;
	at_log(is_done ? AT_LOG_INFO : AT_LOG_WARN, "versions", NULL,
	    "recorded version %s service=%016" PRIx64 " software=%016" PRIx64
	    " result=%s",
	    record->is_deletion ? "deleted" : "written",
	    record->version.service, record->version.software,
	    at_store_code_names[result->code]);
	if (is_done) {
		at_stream_origins_set_recorded(record->deps.origins,
		    record->version.service, record->version.software,
		    !record->is_deletion);
		/* The next version follows without a pause. */
		record->checked_us = 0;
	}
}

/* Writes what has changed, if it is this instance's turn. */
static void
end_round(void *ctx, uint64_t now_us, int is_direct_due)
{
	at_version_record_t *record = ctx;
	const at_version_record_deps_t *deps = &record->deps;
	char name[2 * AT_NAME_SIZE];
	static const char value[] = "{}";

	(void)is_direct_due;
	if (record->is_calling || now_us < record->checked_us ||
	    !deps->may_write(deps->ctx))
		return;
	record->checked_us = now_us + CHECK_INTERVAL_US;
	at_gossip_note_versions(deps->gossip);
	if (!at_stream_origins_next_unrecorded(
		deps->origins, now_us, &record->version, &record->is_deletion))
		return;
	(void)snprintf(name, sizeof(name), AT_INSTANCES_KIND "/" NAME_FORMAT,
	    record->version.service, record->version.software);
	record->is_calling = 1;
	if (record->is_deletion)
		deps->store.del(deps->store.impl, name, 0, on_called, record);
	else
		deps->store.put(deps->store.impl, name, 0, value,
		    sizeof(value) - 1, on_called, record);
}

at_report_section_t
at_version_record_section(at_version_record_t *record)
{
	return (at_report_section_t){.end_round = end_round, .ctx = record};
}
