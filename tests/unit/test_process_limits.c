/*
 * How the descriptors and the memory of a process are divided, and what it
 * reads of its machine: no part is left out, and all of them together fit.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/sysinfo.h>
#include <unistd.h>

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
		cr_expect_leq(limits.backlog * limits.waiting_bytes,
		    limits.memory_bytes / 8);
		cr_expect_geq(limits.waiting_bytes, 16384);
		cr_expect_leq(limits.waiting_bytes, limits.receive_bytes);
		cr_expect_geq(limits.backlog, 256);
		cr_expect(
		    limits.backlog >= 1024 || limits.waiting_bytes == 16384,
		    "%zu MiB: %zu may wait", (size_t)machines[i].memory_mb,
		    limits.backlog);
		cr_expect_geq(limits.receive_bytes, 65536);
		cr_expect_geq(limits.send_bytes, 65536);
	}
}

typedef struct group_case {
	const char *cgroup; /* /proc/self/cgroup */
	const char *path;   /* of a file with a limit */
	const char *limit;
	uint64_t bytes; /* 0: that of the machine */
} group_case_t;

static const group_case_t groups[] = {{NULL, NULL, NULL, 0},
    {"0::/\n", "/sys/fs/cgroup/memory.max", "104857600\n", 100 * MIB},
    {"0::/\n", "/sys/fs/cgroup/memory.max", "max\n", 0},
    {"0::/a/b\n", "/sys/fs/cgroup/a/b/memory.max", "104857600\n", 100 * MIB},
    {"0::/a/b\n", "/sys/fs/cgroup/a/memory.max", "104857600\n", 100 * MIB},
    {"0::/a/b\n", "/sys/fs/cgroup/memory.max", "104857600\n", 100 * MIB},
    {"0::/a/b\n", "/sys/fs/cgroup/c/memory.max", "104857600\n", 0},
    {"4:cpu:/a\n3:memory,pids:/b\n",
	"/sys/fs/cgroup/memory/b/memory.limit_in_bytes", "104857600\n",
	100 * MIB},
    {"3:memory:/b\n", "/sys/fs/cgroup/memory/b/memory.limit_in_bytes",
	"9223372036854771712\n", 0},
    {"3:memory\nnonsense\n\n", NULL, NULL, 0}};

static void
write_file(const char *root, const char *path, const char *text)
{
	char full[512];
	char *slash;
	FILE *file;

	(void)snprintf(full, sizeof(full), "%s%s", root, path);
	for (slash = strchr(full + 1, '/'); slash != NULL;
	     slash = strchr(slash + 1, '/')) {
		*slash = '\0';
		(void)mkdir(full, 0700);
		*slash = '/';
	}
	file = fopen(full, "w");
	cr_assert_not_null(file);
	(void)fputs(text, file);
	(void)fclose(file);
}

/* Without the setting nothing bounded the memory of a process. */
Test(process_limits, the_group_of_a_process_limits_its_memory)
{
	struct sysinfo info;
	uint64_t machine;
	size_t i;

	cr_assert_eq(sysinfo(&info), 0);
	machine = (uint64_t)info.totalram * info.mem_unit;
	for (i = 0; i < sizeof(groups) / sizeof(groups[0]); i++) {
		char root[] = "/tmp/almondthread-machine-XXXXXX";
		char command[64];
		uint64_t bytes;

		cr_assert_not_null(mkdtemp(root));
		if (groups[i].cgroup != NULL)
			write_file(root, "/proc/self/cgroup", groups[i].cgroup);
		if (groups[i].path != NULL)
			write_file(root, groups[i].path, groups[i].limit);
		bytes = at_machine_memory(root);
		cr_expect_eq(bytes,
		    groups[i].bytes == 0 ? machine : groups[i].bytes,
		    "row %zu: %llu bytes", i, (unsigned long long)bytes);
		(void)snprintf(command, sizeof(command), "rm -r %s", root);
		cr_expect_eq(system(command), 0);
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
