#include "almondthread/store_era.h"

#define REVISION_MASK ((1ull << AT_STORE_REVISION_BITS) - 1u)

at_era_change_t
at_store_era_note(at_store_era_t *era, uint64_t stated)
{
	int was_known = era->is_known;

	if (stated > AT_STORE_ERA_MAX || (stated == 0 && era->era != 0))
		return AT_ERA_SAME;
	era->is_known = 1;
	if (stated == era->era)
		return AT_ERA_SAME;
	if (stated < era->era)
		return AT_ERA_PAST;
	era->era = stated;
	return was_known ? AT_ERA_LATER : AT_ERA_SAME;
}

uint64_t
at_store_era_version(const at_store_era_t *era, uint64_t revision)
{
	if (revision == 0)
		return 0;
	return (era->era << AT_STORE_REVISION_BITS) |
	       (revision & REVISION_MASK);
}

uint64_t
at_store_era_of(uint64_t version)
{
	return version >> AT_STORE_REVISION_BITS;
}

uint64_t
at_store_era_revision(uint64_t version)
{
	return version & REVISION_MASK;
}
