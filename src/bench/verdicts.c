#include "bench/bench.h"

#include <stdio.h>

#include "almondthread/verdict.h"

/* Prints every reason with its status and verdict. */
int
bench_verdicts(int argc, char **argv)
{
	int i;

	(void)argc;
	(void)argv;
	for (i = 0; i < AT_REASON_COUNT; i++) {
		at_reason_t reason = (at_reason_t)i;

		(void)printf("%-20s %3d %s\n", at_reason_names[i],
		    at_reason_status(reason),
		    at_verdict_names[at_reason_verdict(reason)]);
	}
	return 0;
}
