#include "bench/bench.h"

#include <string.h>

const char *
bench_option(int argc, char **argv, const char *name, const char *fallback)
{
	size_t len = strlen(name);
	int i;

	for (i = 1; i < argc; i++) {
		if (strncmp(argv[i], "--", 2) == 0 &&
		    strncmp(argv[i] + 2, name, len) == 0 &&
		    argv[i][len + 2] == '=')
			return argv[i] + len + 3;
	}
	return fallback;
}
