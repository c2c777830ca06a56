/*
 * report_paths.h - how reports reach the instances of other data centres.
 *
 * In a small fleet each instance sends its reports to all others, directly.
 * That costs the square of their number. In a larger one, one instance of each
 * data centre, its gateway, merges the reports that it receives there into a
 * summary and sends it to the gateways of the other data centres, which forward
 * it to the instances there. Each instance then sends only the header of its
 * reports to the other data centres, and seldom.
 *
 * No instance waits for a gateway: one that has received no summary of a data
 * centre for AT_SUMMARY_MAX_AGE_US sends its reports to the instances there
 * directly again. As a gateway sends its own summary and forwards those of the
 * others, both directions fail together. So do instances that do not know
 * summaries, those with a shared task, and all for a while after a change that
 * others must know (AT_REPORT_URGENT_US).
 *
 * Times are passed in, in microseconds; a round is 100 ms.
 */
#ifndef ALMONDTHREAD_REPORT_PATHS_H
#define ALMONDTHREAD_REPORT_PATHS_H

#include "almondthread/roster.h"

#define AT_SUMMARY_MAX_AGE_US 800000u
#define AT_REPORT_URGENT_US 1300000u

typedef struct at_report_paths at_report_paths_t;

/* at_report_paths_new() returns NULL if out of memory. */
at_report_paths_t *at_report_paths_new(void);
void at_report_paths_delete(at_report_paths_t *paths);

/*
 * at_report_paths_note_summary() takes the arrival of a summary. Returns 0, or
 * -1 if a newer one of the same gateway was taken before.
 */
int at_report_paths_note_summary(at_report_paths_t *paths, at_tag_t data_centre,
    uint64_t gateway, uint64_t sequence, uint64_t now_us);
/*
 * at_report_paths_is_summarised() returns non-zero while the last summary of a
 * data centre is new enough to replace direct reports from there.
 */
int at_report_paths_is_summarised(
    at_report_paths_t *paths, at_tag_t data_centre, uint64_t now_us);
/* at_report_paths_note_change() begins the time of direct reports to all. */
void at_report_paths_note_change(at_report_paths_t *paths, uint64_t now_us);

/*
 * at_report_paths_set_min_instances() sets the number of instances from which
 * on there are summaries.
 */
void at_report_paths_set_min_instances(
    at_report_paths_t *paths, uint32_t instances);
/*
 * Whether something is due in a round: a summary from the gateway, in a fleet
 * of so many instances; full reports to the instances that need them; headers
 * to the others, with so many instances outside this data centre.
 */
int at_report_paths_has_summaries(
    const at_report_paths_t *paths, uint32_t instances);
int at_report_paths_is_summary_due(
    const at_report_paths_t *paths, uint32_t instances, uint64_t round);
int at_report_paths_is_direct_due(uint64_t round);
/*
 * at_report_paths_near_rounds() returns the number of rounds between two
 * reports to the instances of this data centre, of which there are near.
 */
uint32_t at_report_paths_near_rounds(uint32_t near);
int at_report_paths_is_header_due(uint32_t outside, uint64_t round);
/*
 * at_report_paths_needs_direct() returns non-zero if an instance of another
 * data centre needs this one's full reports. is_special is that this one has a
 * shared task or leaves.
 */
int at_report_paths_needs_direct(at_report_paths_t *paths,
    const at_roster_member_t *member, int is_special, uint64_t now_us);

#endif
