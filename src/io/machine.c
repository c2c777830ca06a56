#include "io/machine.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>
#include <unistd.h>

#define PATH_SIZE 4096u
#define LINE_SIZE 4096u

/* One hierarchy of control groups. */
typedef struct hierarchy {
	const char *folder;
	const char *file;
} hierarchy_t;

static const hierarchy_t unified = {"/sys/fs/cgroup", "memory.max"};
static const hierarchy_t memory_controller = {
    "/sys/fs/cgroup/memory", "memory.limit_in_bytes"};

static uint64_t
smaller(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* Returns the number in a file; "max", or no file, is no limit. */
static uint64_t
read_limit(const char *path)
{
	char line[LINE_SIZE] = "";
	uint64_t limit = UINT64_MAX;
	FILE *file = fopen(path, "re");

	if (file == NULL)
		return UINT64_MAX;
	if (fgets(line, sizeof(line), file) != NULL &&
	    sscanf(line, "%" SCNu64, &limit) != 1)
		limit = UINT64_MAX;
	(void)fclose(file);
	return limit;
}

/* Returns the smallest limit of a group and of the groups above it. */
static uint64_t
read_hierarchy(const char *root, const hierarchy_t *hierarchy, char *group)
{
	char path[PATH_SIZE + LINE_SIZE];
	uint64_t limit = UINT64_MAX;
	char *last;

	group[strcspn(group, "\n")] = '\0';
	do {
		last = strrchr(group, '/');
		/* The root of a hierarchy is "/". */
		if (last != NULL && last[1] == '\0')
			*last = '\0';
		(void)snprintf(path, sizeof(path), "%s%s%s/%s", root,
		    hierarchy->folder, group, hierarchy->file);
		limit = smaller(limit, read_limit(path));
		last = strrchr(group, '/');
		if (last != NULL)
			*last = '\0';
	} while (last != NULL);
	return limit;
}

/* A line of the file is "NUMBER:CONTROLLERS:GROUP". */
static uint64_t
read_group(const char *root, char *line)
{
	char *controllers = strchr(line, ':');
	char *group = controllers == NULL ? NULL : strchr(controllers + 1, ':');

	if (group == NULL)
		return UINT64_MAX;
	*group++ = '\0';
	if (controllers[1] == '\0')
		return read_hierarchy(root, &unified, group);
	return strstr(controllers, "memory") == NULL
		   ? UINT64_MAX
		   : read_hierarchy(root, &memory_controller, group);
}

static uint64_t
read_groups(const char *root)
{
	char path[PATH_SIZE];
	char line[LINE_SIZE];
	uint64_t limit = UINT64_MAX;
	FILE *file;

	(void)snprintf(path, sizeof(path), "%s/proc/self/cgroup", root);
	file = fopen(path, "re");
	if (file == NULL)
		return UINT64_MAX;
	while (fgets(line, sizeof(line), file) != NULL)
		limit = smaller(limit, read_group(root, line));
	(void)fclose(file);
	return limit;
}

static uint64_t
resource_limit(__rlimit_resource_t resource)
{
	struct rlimit limit;

	return getrlimit(resource, &limit) != 0 ||
		       limit.rlim_cur == RLIM_INFINITY
		   ? UINT64_MAX
		   : (uint64_t)limit.rlim_cur;
}

/*
 * Returns how much may be resident under RLIMIT_AS: what is mapped now and not
 * resident, mostly libraries, counts towards that limit for good.
 */
static uint64_t
address_space_limit(void)
{
	uint64_t limit = resource_limit(RLIMIT_AS);
	uint64_t page = (uint64_t)sysconf(_SC_PAGESIZE);
	uint64_t mapped = 0;
	uint64_t resident = 0;
	FILE *file;

	if (limit == UINT64_MAX)
		return limit;
	file = fopen("/proc/self/statm", "re");
	if (file == NULL)
		return limit;
	if (fscanf(file, "%" SCNu64 " %" SCNu64, &mapped, &resident) != 2)
		mapped = resident;
	(void)fclose(file);
	mapped = (mapped - resident) * page;
	return limit > mapped ? limit - mapped : 0;
}

uint64_t
at_machine_memory(const char *root)
{
	struct sysinfo info;
	uint64_t bytes = UINT64_MAX;

	if (sysinfo(&info) == 0)
		bytes = (uint64_t)info.totalram * info.mem_unit;
	bytes = smaller(bytes, read_groups(root));
	bytes = smaller(bytes, resource_limit(RLIMIT_DATA));
	return smaller(bytes, address_space_limit());
}

size_t
at_machine_descriptors(size_t wanted)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return wanted;
	if (limit.rlim_cur < wanted && limit.rlim_cur < limit.rlim_max) {
		struct rlimit raised = limit;

		raised.rlim_cur =
		    wanted < limit.rlim_max ? wanted : limit.rlim_max;
		if (setrlimit(RLIMIT_NOFILE, &raised) == 0)
			limit = raised;
	}
	return wanted < limit.rlim_cur ? wanted : (size_t)limit.rlim_cur;
}
