/*
 * How the descriptors and the memory of a process are divided: no part is left
 * out, and all of them together fit.
 */
#include <sys/resource.h>

#include <criterion/criterion.h>

#include "almondthread/process_limits.h"
#include "io/machine.h"

#define MIB ((uint64_t)1 << 20)
#define OPERATOR_ADDRESSES 2u
#define OWN 24u /* listening sockets, polling, the log */

static const struct {
	size_t descriptors;
	uint64_t memory_mb;
} machines[] = {{0, 0}, {128, 32}, {200, 48}, {256, 48}, {1024, 120},
    {3075, 120}, {4100, 160}, {8192, 512}, {10250, 512}, {32768, 24576},
    {1000000, 1048576}};

/* Addresses without a part of their own took the descriptors of others. */
Test(process_limits, all_parts_fit)
{
	size_t i;

	for (i = 0; i < sizeof(machines) / sizeof(machines[0]); i++) {
		at_process_limits_t limits;
		size_t sum;

		at_process_limits_divide(&limits, machines[i].descriptors,
		    machines[i].memory_mb * MIB);
		sum = limits.callers + limits.peers +
		      OPERATOR_ADDRESSES * limits.operators + limits.outgoing +
		      OWN;
		cr_expect_leq(sum, limits.descriptors, "%zu descriptors: %zu",
		    limits.descriptors, sum);
		cr_expect_geq(limits.callers, limits.descriptors / 3);
		cr_expect_geq(limits.outgoing, 16);
		cr_expect_geq(limits.operators, 8);
		cr_expect_geq(limits.peers, 12);
		/* Bytes of connections that wait fit into an eighth. */
		cr_expect_leq(limits.backlog * limits.receive_bytes,
		    limits.memory_bytes / 8);
		cr_expect_geq(limits.receive_bytes, 65536);
		cr_expect_geq(limits.send_bytes, 65536);
	}
}

/* The kernel refused what the settings allowed. */
Test(process_limits, descriptors_are_those_that_the_kernel_grants)
{
	struct rlimit before;
	struct rlimit limit;

	cr_assert_eq(getrlimit(RLIMIT_NOFILE, &before), 0);
	limit = before;
	limit.rlim_cur = 100;
	cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
	cr_expect_eq(at_machine_descriptors(50), 50);
	/* As far as it may be raised, it is. */
	cr_expect_eq(at_machine_descriptors(150), 150);
	cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
	cr_expect_eq(limit.rlim_cur, 150);
	limit.rlim_max = 200;
	cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
	cr_expect_eq(at_machine_descriptors(4100), 200);
}
