/*
 * server_limits.h - limits that backend servers name: what this instance hears
 * in their answers, the exchange with the other instances, and this instance's
 * part (fleet.h).
 */
#ifndef ALMONDTHREAD_ENTRY_SERVER_LIMITS_H
#define ALMONDTHREAD_ENTRY_SERVER_LIMITS_H

#include "entry/entry.h"
#include "report.pb-c.h"

/*
 * at_server_limits_note() takes what an answer states to a request that was
 * sent at sent_us: a limit in requests in 1,000 s, or 0 for none.
 */
void at_server_limits_note(at_entry_t *entry, at_server_t *server,
    uint32_t limit_milli, uint64_t sent_us);
/* at_server_limits_on_round() follows changes of the instances. */
void at_server_limits_on_round(at_entry_t *entry, uint64_t now_us);
/* What a report points to is valid until the next call. */
void at_server_limits_fill_report(const at_entry_t *entry, Report *report);
void at_server_limits_apply_report(at_entry_t *entry, const Report *report);

#endif
