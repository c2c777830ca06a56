/*
 * bench.h - measurements, one subcommand each. A subcommand lives in a file
 * of its own and has a row in main.c.
 */
#ifndef ALMONDTHREAD_BENCH_BENCH_H
#define ALMONDTHREAD_BENCH_BENCH_H

/*
 * bench_option() returns the text of --name=TEXT in argv, or fallback.
 */
const char *bench_option(
    int argc, char **argv, const char *name, const char *fallback);

/* Each returns the exit code; argv[0] is the subcommand's own word. */
int bench_verdicts(int argc, char **argv);
int bench_place(int argc, char **argv);
int bench_target(int argc, char **argv);
int bench_keys(int argc, char **argv);
int bench_entry(int argc, char **argv);
int bench_claims(int argc, char **argv);
int bench_limits(int argc, char **argv);
int bench_route(int argc, char **argv);
int bench_serve(int argc, char **argv);

#endif
