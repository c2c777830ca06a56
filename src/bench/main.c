/*
 * almond-bench: measures components of the system and prints tables.
 */
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"

typedef struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} command_t;

static const command_t commands[] = {
    {"place", bench_place, "cost and moves of placement planning rounds"},
    {"keys", bench_keys, "time to parse a configuration and look up keys"},
    {"target", bench_target, "print a configuration of the target size"},
    {"verdicts", bench_verdicts, "reasons with HTTP status and verdict"},
    {"entry", bench_entry, "latency and throughput of an entry instance"},
    {"claims", bench_claims, "claims per object API write and added latency"},
    {"limits", bench_limits, "workspace limits: shares against other policies"},
    {"route", bench_route, "cost of one routing decision"},
    {"choose", bench_choose, "time of one choice of a backend server"},
    {"serve", bench_serve, "requests served on time, against baselines"},
};

int
main(int argc, char **argv)
{
	size_t i;

	for (i = 0; argc > 1 && i < sizeof(commands) / sizeof(commands[0]);
	     i++) {
		if (strcmp(commands[i].name, argv[1]) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	(void)printf("usage: almond-bench COMMAND [--OPTION=VALUE...]\n\n");
	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		(void)printf(
		    "  %-10s %s\n", commands[i].name, commands[i].help);
	return argc > 1 ? 2 : 0;
}
