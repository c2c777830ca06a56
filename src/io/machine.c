#include "io/machine.h"

#include <sys/resource.h>

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
