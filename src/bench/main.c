/*
 * almond-bench: measures decisions and parts; prints tables.
 */
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"

typedef struct command {
	const char *word;
	int (*run)(int argc, char **argv);
	const char *help;
} command_t;

static const command_t commands[] = {
    {"place", bench_place, "rounds of the planner: cost and moves"},
    {"keys", bench_keys, "parsing and key look-ups of a configuration"},
    {"target", bench_target, "print a configuration of the target size"},
    {"verdicts", bench_verdicts, "every reason, its status and verdict"},
    {"entry", bench_entry, "latency and throughput of an entry instance"},
    {"claims", bench_claims, "claims for each platform write, added latency"},
    {"limits", bench_limits, "shares beside other policies, by refusals"},
    {"route", bench_route, "cost of one routing decision"},
    {"serve", bench_serve, "demand served on time, against baselines"},
};

int
main(int argc, char **argv)
{
	size_t i;

	for (i = 0; argc > 1 && i < sizeof(commands) / sizeof(commands[0]);
	     i++) {
		if (strcmp(commands[i].word, argv[1]) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	(void)printf("usage: almond-bench COMMAND [--OPTION=VALUE...]\n\n");
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		(void)printf(
		    "  %-10s %s\n", commands[i].word, commands[i].help);
	return argc > 1 ? 2 : 0;
}
