#include "almondthread/report_paths.h"

#include <stdlib.h>

/* Rounds between two reports to instances of other data centres. */
#define NEAR_FLEET_ROUNDS 4u
/* Direct reports that an instance sends to other data centres in a round. */
#define DIRECT_PER_ROUND 2u
/* From this number of instances on, there are summaries. */
#define SUMMARIES_MIN_INSTANCES 48u
/* Rounds between two summaries. */
#define SUMMARY_ROUNDS 3u
#define DATA_CENTRES_MAX 16u
/* Most reports to the instances of this data centre in a round. */
#define NEAR_PER_ROUND 40u

/* The last summary of another data centre. */
typedef struct source {
	at_tag_t data_centre;
	uint64_t gateway;
	uint64_t sequence;
	uint64_t received_us;
} source_t;

struct at_report_paths {
	source_t sources[DATA_CENTRES_MAX];
	size_t source_count;
	uint64_t urgent_until_us;
	uint32_t min_instances;
};

at_report_paths_t *
at_report_paths_new(void)
{
	at_report_paths_t *paths = calloc(1, sizeof(*paths));

	if (paths != NULL)
		paths->min_instances = SUMMARIES_MIN_INSTANCES;
	return paths;
}

void
at_report_paths_set_min_instances(at_report_paths_t *paths, uint32_t instances)
{
	paths->min_instances = instances;
}

void
at_report_paths_delete(at_report_paths_t *paths)
{
	free(paths);
}

static source_t *
find_source(at_report_paths_t *paths, at_tag_t data_centre)
{
	size_t i;

	for (i = 0; i < paths->source_count; i++) {
		if (paths->sources[i].data_centre == data_centre)
			return &paths->sources[i];
	}
	return NULL;
}

int
at_report_paths_note_summary(at_report_paths_t *paths, at_tag_t data_centre,
    uint64_t gateway, uint64_t sequence, uint64_t now_us)
{
	source_t *source = find_source(paths, data_centre);

	if (source == NULL && paths->source_count == DATA_CENTRES_MAX)
		return -1;
	if (source == NULL) {
		source = &paths->sources[paths->source_count++];
		source->data_centre = data_centre;
	} else if (source->gateway == gateway && sequence <= source->sequence) {
		return -1;
	}
	source->gateway = gateway;
	source->sequence = sequence;
	source->received_us = now_us;
	return 0;
}

int
at_report_paths_is_summarised(
    at_report_paths_t *paths, at_tag_t data_centre, uint64_t now_us)
{
	const source_t *source = find_source(paths, data_centre);

	return source != NULL &&
	       now_us <= source->received_us + AT_SUMMARY_MAX_AGE_US;
}

void
at_report_paths_note_change(at_report_paths_t *paths, uint64_t now_us)
{
	paths->urgent_until_us = now_us + AT_REPORT_URGENT_US;
}

int
at_report_paths_has_summaries(
    const at_report_paths_t *paths, uint32_t instances)
{
	return instances >= paths->min_instances;
}

int
at_report_paths_is_summary_due(
    const at_report_paths_t *paths, uint32_t instances, uint64_t round)
{
	return at_report_paths_has_summaries(paths, instances) &&
	       round % SUMMARY_ROUNDS == 0;
}

uint32_t
at_report_paths_near_rounds(uint32_t near)
{
	return 1u + near / NEAR_PER_ROUND;
}

int
at_report_paths_is_direct_due(uint64_t round)
{
	return round % NEAR_FLEET_ROUNDS == 0;
}

int
at_report_paths_is_header_due(uint32_t outside, uint64_t round)
{
	uint32_t rounds = outside / DIRECT_PER_ROUND;

	rounds -= rounds % NEAR_FLEET_ROUNDS;
	return round % (rounds == 0 ? NEAR_FLEET_ROUNDS : rounds) == 0;
}

int
at_report_paths_needs_direct(at_report_paths_t *paths,
    const at_roster_member_t *member, int is_special, uint64_t now_us)
{
	return is_special || now_us < paths->urgent_until_us ||
	       !member->takes_summaries ||
	       !at_report_paths_is_summarised(
		   paths, member->data_centre, now_us);
}
