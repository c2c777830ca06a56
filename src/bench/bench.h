/*
 * bench.h - subcommands of almond-bench. Each subcommand has its own file and
 * an entry in the table of main.c.
 */
#ifndef ALMONDTHREAD_BENCH_BENCH_H
#define ALMONDTHREAD_BENCH_BENCH_H

/*
 * bench_option() returns the TEXT of the first argument --name=TEXT, or
 * fallback if there is none. The text is part of argv.
 */
const char *bench_option(
    int argc, char **argv, const char *name, const char *fallback);

/* Each runs a subcommand, whose name is argv[0], and returns the exit code. */
int bench_verdicts(int argc, char **argv);
int bench_place(int argc, char **argv);
int bench_target(int argc, char **argv);
int bench_keys(int argc, char **argv);
int bench_entry(int argc, char **argv);
int bench_claims(int argc, char **argv);
int bench_limits(int argc, char **argv);
int bench_route(int argc, char **argv);
int bench_choose(int argc, char **argv);
int bench_serve(int argc, char **argv);

#endif
