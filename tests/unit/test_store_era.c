/* A store that comes back from an older copy, and versions over its eras. */
#include <criterion/criterion.h>

#include "almondthread/store_era.h"

static const struct {
	const char *name;
	uint64_t before; /* UINT64_MAX: nothing was stated */
	uint64_t stated;
	at_era_change_t change;
	uint64_t era;
} statements[] = {
    {"none at all", UINT64_MAX, 0, AT_ERA_SAME, 0},
    {"the first", UINT64_MAX, 7, AT_ERA_SAME, 7},
    {"the same", 7, 7, AT_ERA_SAME, 7},
    {"a later one", 7, 8, AT_ERA_LATER, 8},
    {"much later", 7, AT_STORE_ERA_MAX, AT_ERA_LATER, AT_STORE_ERA_MAX},
    {"a past one", 7, 6, AT_ERA_PAST, 7},
    {"left out", 7, 0, AT_ERA_SAME, 7},
    {"too large", 7, AT_STORE_ERA_MAX + 1u, AT_ERA_SAME, 7},
    {"larger than any", 7, UINT64_MAX, AT_ERA_SAME, 7},
    {"stated from now on", 0, 1, AT_ERA_LATER, 1},
};

/* A response that another one had overtaken brought the past back. */
Test(store_era, only_rises)
{
	size_t i;

	for (i = 0; i < sizeof(statements) / sizeof(statements[0]); i++) {
		at_store_era_t era = {0, 0};

		if (statements[i].before != UINT64_MAX)
			(void)at_store_era_note(&era, statements[i].before);
		cr_expect_eq(at_store_era_note(&era, statements[i].stated),
		    statements[i].change, "%s", statements[i].name);
		cr_expect_eq(
		    era.era, statements[i].era, "%s", statements[i].name);
	}
}

static const struct {
	uint64_t era;
	uint64_t revision;
	uint64_t version;
} versions[] = {
    {0, 0, 0},
    {0, 41, 41},
    {5, 0, 0},
    {1, 1, (1ull << 40) + 1u},
    {2, (1ull << 40) - 1u, (3ull << 40) - 1u},
    {AT_STORE_ERA_MAX, (1ull << 40) - 1u, (1ull << 52) - 1u},
};

/* A revision that was given out again looked older than before. */
Test(store_era, versions_rise_with_it)
{
	size_t i;

	for (i = 0; i < sizeof(versions) / sizeof(versions[0]); i++) {
		const at_store_era_t era = {versions[i].era, 1};
		uint64_t version =
		    at_store_era_version(&era, versions[i].revision);

		cr_expect_eq(version, versions[i].version, "row %zu", i);
		cr_expect_eq(at_store_era_revision(version),
		    versions[i].revision, "row %zu", i);
		if (version != 0)
			cr_expect_eq(at_store_era_of(version), versions[i].era,
			    "row %zu", i);
	}
}
