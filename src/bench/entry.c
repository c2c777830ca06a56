/*
 * almond-bench entry: latency and throughput of an entry instance. Equal
 * requests are sent alternately to an engine and to an entry instance in front
 * of it; then many concurrent streams pass through the instance.
 * scripts/bench-entry starts the processes and passes their addresses.
 */
#include "bench/bench.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "io/clock.h"
#include "io/httpc.h"

#define SAMPLES_MAX 200000u /* requests to one target that are recorded */
#define US_PER_MS 1000.0
#define MS_PER_S 1000.0
#define BODY_MAX_BYTES 256
#define URL_MAX_BYTES 128
#define SETTLE_S 2.0 /* time to end a phase or to start all streams */

/* Results of the requests to one target. */
typedef struct samples {
	uint32_t *latency_us;
	size_t count;
	size_t failed;
} samples_t;

typedef struct entry_bench {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	char engine_url[URL_MAX_BYTES];
	char entry_url[URL_MAX_BYTES];
	char authorization[192];
	const char *model;
	double requests_s; /* to each target */
	double time_s;     /* of each phase */
	long pid;          /* of the entry instance, or 0 if not known */
	uint32_t streams;
	uint64_t stream_bytes;
	uint64_t stream_tokens; /* received events */
	uint32_t in_flight;
	samples_t targets[2]; /* indexed by target */
	int next_target;
	ev_timer send_timer;
} entry_bench_t;

/* A request in flight. */
typedef struct sample {
	entry_bench_t *bench;
	uint64_t start_us;
	int target; /* 0 for the engine, 1 for the entry instance */
} sample_t;

static int
compare_values(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static double
quantile_ms(const samples_t *samples, double fraction)
{
	size_t i = (size_t)(fraction * (double)samples->count);

	if (samples->count == 0)
		return 0;
	if (i >= samples->count)
		i = samples->count - 1;
	return samples->latency_us[i] / US_PER_MS;
}

static void
start_transfer(entry_bench_t *bench, int target, const char *body,
    const at_transfer_events_t *events)
{
	const char *headers[] = {"Content-Type: application/json",
	    target == 1 ? bench->authorization : NULL, NULL};
	const at_transfer_spec_t spec = {.method = "POST",
	    .url = target == 1 ? bench->entry_url : bench->engine_url,
	    .headers = headers,
	    .body = body,
	    .body_len = strlen(body)};

	(void)at_httpc_start(bench->httpc, &spec, events);
}

static void
on_sample_done(void *ctx, const at_transfer_result_t *result)
{
	sample_t *sample = ctx;
	samples_t *samples = &sample->bench->targets[sample->target];

	sample->bench->in_flight--;
	if (!result->is_complete || result->http_status != 200)
		samples->failed++;
	else if (samples->count < SAMPLES_MAX)
		samples->latency_us[samples->count++] =
		    (uint32_t)(at_clock_now_us() - sample->start_us);
	free(sample);
}

static void
on_send_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	entry_bench_t *bench = timer->data;
	at_transfer_events_t handlers = {.on_done = on_sample_done};
	sample_t *sample = calloc(1, sizeof(*sample));
	char body[BODY_MAX_BYTES];

	(void)loop;
	(void)events;
	if (sample == NULL)
		return;
	sample->bench = bench;
	sample->target = bench->next_target;
	sample->start_us = at_clock_now_us();
	bench->next_target = !bench->next_target;
	bench->in_flight++;
	handlers.ctx = sample;
	(void)snprintf(body, sizeof(body),
	    "{\"model\":\"%s\",\"max_tokens\":1,\"messages\":[]}",
	    bench->model);
	start_transfer(bench, sample->target, body, &handlers);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

/* Runs the event loop for time_s. */
static void
run_for(entry_bench_t *bench, double time_s)
{
	ev_timer end;

	ev_timer_init(&end, on_timeout, time_s, 0.);
	ev_timer_start(bench->loop, &end);
	(void)ev_run(bench->loop, 0);
	ev_timer_stop(bench->loop, &end);
}

static void
print_latency(const char *name, samples_t *samples)
{
	if (samples->count > 0)
		qsort(samples->latency_us, samples->count,
		    sizeof(samples->latency_us[0]), compare_values);
	(void)printf("%-10s %8zu %7zu %9.3f %9.3f %9.3f\n", name,
	    samples->count, samples->failed, quantile_ms(samples, 0.50),
	    quantile_ms(samples, 0.95), quantile_ms(samples, 0.99));
}

static void
measure_latency(entry_bench_t *bench)
{
	const samples_t *engine = &bench->targets[0];
	const samples_t *entry = &bench->targets[1];
	double interval_s = 1.0 / (2 * bench->requests_s);

	ev_timer_init(
	    &bench->send_timer, on_send_timer, interval_s, interval_s);
	bench->send_timer.data = bench;
	ev_timer_start(bench->loop, &bench->send_timer);
	run_for(bench, bench->time_s);
	ev_timer_stop(bench->loop, &bench->send_timer);
	run_for(bench, SETTLE_S);
	(void)printf("latency at %.0f requests/s to each target, ms\n",
	    bench->requests_s);
	(void)printf("%-10s %8s %7s %9s %9s %9s\n", "way", "requests", "failed",
	    "p50", "p95", "p99");
	print_latency("direct", &bench->targets[0]);
	print_latency("through", &bench->targets[1]);
	(void)printf("%-10s %8s %7s %9.3f %9.3f %9.3f\n", "added", "", "",
	    quantile_ms(entry, 0.50) - quantile_ms(engine, 0.50),
	    quantile_ms(entry, 0.95) - quantile_ms(engine, 0.95),
	    quantile_ms(entry, 0.99) - quantile_ms(engine, 0.99));
}

/* Returns the processor time of a process, or 0 if it is not known. */
static double
process_cpu_time_s(long pid)
{
	char path[64];
	unsigned long user = 0;
	unsigned long system = 0;
	FILE *file;

	(void)snprintf(path, sizeof(path), "/proc/%ld/stat", pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	if (fscanf(file,
		"%*d (%*[^)]) %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
		"%lu %lu",
		&user, &system) != 2)
		user = system = 0;
	(void)fclose(file);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

/* Returns the resident memory of a process, or 0 if it is not known. */
static double
process_resident_mb(long pid)
{
	char path[64];
	long size = 0;
	long resident = 0;
	FILE *file;

	(void)snprintf(path, sizeof(path), "/proc/%ld/statm", pid);
	file = fopen(path, "r");
	if (file == NULL)
		return 0;
	if (fscanf(file, "%ld %ld", &size, &resident) != 2)
		resident = 0;
	(void)fclose(file);
	return (double)resident * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

static int
on_stream_data(void *ctx, const char *data, size_t len)
{
	entry_bench_t *bench = ctx;
	const char *pos = data;
	const char *end = data + len;

	bench->stream_bytes += len;
	while ((pos = memchr(pos, '\n', (size_t)(end - pos))) != NULL) {
		pos++;
		if (pos < end && *pos == '\n')
			bench->stream_tokens++;
	}
	return 0;
}

static void
on_stream_done(void *ctx, const at_transfer_result_t *result)
{
	entry_bench_t *bench = ctx;

	bench->in_flight--;
	if (!result->is_complete)
		bench->targets[1].failed++;
}

static void
measure_streams(entry_bench_t *bench)
{
	const at_transfer_events_t handlers = {
	    .on_data = on_stream_data, .on_done = on_stream_done, .ctx = bench};
	char body[BODY_MAX_BYTES];
	uint64_t tokens;
	uint64_t bytes;
	uint64_t start_us;
	double cpu_time_s;
	double elapsed_s;
	uint32_t i;

	(void)snprintf(body, sizeof(body),
	    "{\"model\":\"%s\",\"max_tokens\":1000000,\"stream\":true,"
	    "\"messages\":[]}",
	    bench->model);
	bench->targets[1].failed = 0;
	for (i = 0; i < bench->streams; i++) {
		bench->in_flight++;
		start_transfer(bench, 1, body, &handlers);
	}
	run_for(bench, SETTLE_S);
	tokens = bench->stream_tokens;
	bytes = bench->stream_bytes;
	cpu_time_s = process_cpu_time_s(bench->pid);
	start_us = at_clock_now_us();
	run_for(bench, bench->time_s);
	elapsed_s =
	    (double)(at_clock_now_us() - start_us) / (US_PER_MS * MS_PER_S);
	cpu_time_s = process_cpu_time_s(bench->pid) - cpu_time_s;
	tokens = bench->stream_tokens - tokens;
	bytes = bench->stream_bytes - bytes;
	(void)printf("\n%u streams: %.0f tokens/s, %.1f MB/s, %zu failed\n",
	    bench->streams, (double)tokens / elapsed_s,
	    (double)bytes / elapsed_s / 1e6, bench->targets[1].failed);
	if (cpu_time_s > 0)
		(void)printf("instance: %.0f%% of a core, %.0f tokens per "
			     "processor second, %.1f MB resident\n",
		    100 * cpu_time_s / elapsed_s, (double)tokens / cpu_time_s,
		    process_resident_mb(bench->pid));
}

int
bench_entry(int argc, char **argv)
{
	entry_bench_t bench = {0};
	const char *engine_address = bench_option(argc, argv, "direct", NULL);
	const char *entry_address = bench_option(argc, argv, "through", NULL);
	const char *path = "/v1/chat/completions";

	if (engine_address == NULL || entry_address == NULL) {
		(void)fprintf(stderr,
		    "usage: almond-bench entry --direct=IP:PORT "
		    "--through=IP:PORT --key=KEY [--model=NAME] [--rate=200] "
		    "[--streams=500] [--time=10] [--pid=PID]\n"
		    "scripts/bench-entry starts all processes.\n");
		return 2;
	}
	(void)curl_global_init(CURL_GLOBAL_ALL);
	bench.loop = ev_default_loop(0);
	bench.httpc = at_httpc_new(bench.loop);
	bench.model = bench_option(argc, argv, "model", "notes-small");
	bench.requests_s =
	    strtod(bench_option(argc, argv, "rate", "200"), NULL);
	bench.time_s = strtod(bench_option(argc, argv, "time", "10"), NULL);
	bench.pid = strtol(bench_option(argc, argv, "pid", "0"), NULL, 10);
	bench.streams = (uint32_t)strtoul(
	    bench_option(argc, argv, "streams", "500"), NULL, 10);
	(void)snprintf(bench.engine_url, URL_MAX_BYTES, "http://%s%s",
	    engine_address, path);
	(void)snprintf(
	    bench.entry_url, URL_MAX_BYTES, "http://%s%s", entry_address, path);
	(void)snprintf(bench.authorization, sizeof(bench.authorization),
	    "Authorization: Bearer %s", bench_option(argc, argv, "key", ""));
	bench.targets[0].latency_us = calloc(SAMPLES_MAX, sizeof(uint32_t));
	bench.targets[1].latency_us = calloc(SAMPLES_MAX, sizeof(uint32_t));
	if (bench.targets[0].latency_us == NULL ||
	    bench.targets[1].latency_us == NULL)
		return 1;
	measure_latency(&bench);
	measure_streams(&bench);
	at_httpc_delete(bench.httpc);
	free(bench.targets[0].latency_us);
	free(bench.targets[1].latency_us);
	return 0;
}
