/*
 * What an entry instance adds: the same requests sent straight to an engine
 * and through an instance, in turn; then many streams at once through it.
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

#define SAMPLES_MAX 200000u
#define US_PER_MS 1000.0
#define MS_PER_S 1000.0
#define BODY_SIZE 256
#define URL_SIZE 128
#define STREAM_SETTLE_S 2.0

typedef struct samples {
	uint32_t *us;
	size_t count;
	size_t failed;
} samples_t;

typedef struct entry_bench {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	char direct[URL_SIZE];
	char through[URL_SIZE];
	char bearer[192];
	const char *model;
	double rate;   /* requests a second, each way */
	double time_s; /* of each phase */
	long pid;      /* of the instance */
	uint32_t streams;
	uint64_t stream_bytes;
	uint64_t stream_tokens;
	uint32_t open;
	samples_t ways[2]; /* direct, through */
	int next_way;
	ev_timer arrival;
} entry_bench_t;

typedef struct sample {
	entry_bench_t *bench;
	uint64_t start_us;
	int way;
} sample_t;

static int
by_value(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static double
quantile_ms(const samples_t *samples, double q)
{
	size_t i = (size_t)(q * (double)samples->count);

	if (samples->count == 0)
		return 0;
	if (i >= samples->count)
		i = samples->count - 1;
	return samples->us[i] / US_PER_MS;
}

static void
start(entry_bench_t *b, int way, const char *body,
    const at_transfer_events_t *events)
{
	const char *headers[] = {"Content-Type: application/json",
	    way == 1 ? b->bearer : NULL, NULL};
	const at_transfer_spec_t spec = {.method = "POST",
	    .url = way == 1 ? b->through : b->direct,
	    .headers = headers,
	    .body = body,
	    .body_len = strlen(body)};

	(void)at_httpc_start(b->httpc, &spec, events);
}

static void
on_sample_done(void *ctx, const at_transfer_result_t *result)
{
	sample_t *s = ctx;
	samples_t *samples = &s->bench->ways[s->way];

	s->bench->open--;
	if (!result->is_complete || result->http_status != 200)
		samples->failed++;
	else if (samples->count < SAMPLES_MAX)
		samples->us[samples->count++] =
		    (uint32_t)(at_clock_now_us() - s->start_us);
	free(s);
}

static void
on_arrival(struct ev_loop *loop, ev_timer *timer, int events)
{
	entry_bench_t *b = timer->data;
	at_transfer_events_t e = {.on_done = on_sample_done};
	sample_t *s = calloc(1, sizeof(*s));
	char body[BODY_SIZE];

	(void)loop;
	(void)events;
	if (s == NULL)
		return;
	s->bench = b;
	s->way = b->next_way;
	s->start_us = at_clock_now_us();
	b->next_way = !b->next_way;
	b->open++;
	e.ctx = s;
	(void)snprintf(body, sizeof(body),
	    "{\"model\":\"%s\",\"max_tokens\":1,\"messages\":[]}", b->model);
	start(b, s->way, body, &e);
}

static void
on_phase_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static void
run_for(entry_bench_t *b, double time_s)
{
	ev_timer end;

	ev_timer_init(&end, on_phase_end, time_s, 0.);
	ev_timer_start(b->loop, &end);
	(void)ev_run(b->loop, 0);
	ev_timer_stop(b->loop, &end);
}

static void
print_way(const char *name, samples_t *s)
{
	if (s->count > 0)
		qsort(s->us, s->count, sizeof(s->us[0]), by_value);
	(void)printf("%-10s %8zu %7zu %9.3f %9.3f %9.3f\n", name, s->count,
	    s->failed, quantile_ms(s, 0.50), quantile_ms(s, 0.95),
	    quantile_ms(s, 0.99));
}

static void
run_latency(entry_bench_t *b)
{
	const samples_t *d = &b->ways[0];
	const samples_t *t = &b->ways[1];
	double gap_s = 1.0 / (2 * b->rate);

	ev_timer_init(&b->arrival, on_arrival, gap_s, gap_s);
	b->arrival.data = b;
	ev_timer_start(b->loop, &b->arrival);
	run_for(b, b->time_s);
	ev_timer_stop(b->loop, &b->arrival);
	run_for(b, STREAM_SETTLE_S);
	(void)printf("latency at %.0f requests/s each way, ms\n", b->rate);
	(void)printf("%-10s %8s %7s %9s %9s %9s\n", "way", "requests", "failed",
	    "p50", "p95", "p99");
	print_way("direct", &b->ways[0]);
	print_way("through", &b->ways[1]);
	(void)printf("%-10s %8s %7s %9.3f %9.3f %9.3f\n", "added", "", "",
	    quantile_ms(t, 0.50) - quantile_ms(d, 0.50),
	    quantile_ms(t, 0.95) - quantile_ms(d, 0.95),
	    quantile_ms(t, 0.99) - quantile_ms(d, 0.99));
}

/* Processor seconds that a process has used; 0 when it cannot be read. */
static double
cpu_s(long pid)
{
	char path[64];
	unsigned long user = 0;
	unsigned long system = 0;
	FILE *in;

	(void)snprintf(path, sizeof(path), "/proc/%ld/stat", pid);
	in = fopen(path, "r");
	if (in == NULL)
		return 0;
	if (fscanf(in,
		"%*d (%*[^)]) %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
		"%lu %lu",
		&user, &system) != 2)
		user = system = 0;
	(void)fclose(in);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static double
resident_mb(long pid)
{
	char path[64];
	long size = 0;
	long resident = 0;
	FILE *in;

	(void)snprintf(path, sizeof(path), "/proc/%ld/statm", pid);
	in = fopen(path, "r");
	if (in == NULL)
		return 0;
	if (fscanf(in, "%ld %ld", &size, &resident) != 2)
		resident = 0;
	(void)fclose(in);
	return (double)resident * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

static int
on_stream_data(void *ctx, const char *data, size_t len)
{
	entry_bench_t *b = ctx;
	const char *p = data;
	const char *end = data + len;

	b->stream_bytes += len;
	while ((p = memchr(p, '\n', (size_t)(end - p))) != NULL) {
		p++;
		if (p < end && *p == '\n')
			b->stream_tokens++;
	}
	return 0;
}

static void
on_stream_done(void *ctx, const at_transfer_result_t *result)
{
	entry_bench_t *b = ctx;

	b->open--;
	if (!result->is_complete)
		b->ways[1].failed++;
}

static void
run_streams(entry_bench_t *b)
{
	const at_transfer_events_t e = {
	    .on_data = on_stream_data, .on_done = on_stream_done, .ctx = b};
	char body[BODY_SIZE];
	uint64_t tokens;
	uint64_t bytes;
	uint64_t start_us;
	double cpu;
	double wall;
	uint32_t i;

	(void)snprintf(body, sizeof(body),
	    "{\"model\":\"%s\",\"max_tokens\":1000000,\"stream\":true,"
	    "\"messages\":[]}",
	    b->model);
	b->ways[1].failed = 0;
	for (i = 0; i < b->streams; i++) {
		b->open++;
		start(b, 1, body, &e);
	}
	run_for(b, STREAM_SETTLE_S);
	tokens = b->stream_tokens;
	bytes = b->stream_bytes;
	cpu = cpu_s(b->pid);
	start_us = at_clock_now_us();
	run_for(b, b->time_s);
	wall = (double)(at_clock_now_us() - start_us) / (US_PER_MS * MS_PER_S);
	cpu = cpu_s(b->pid) - cpu;
	tokens = b->stream_tokens - tokens;
	bytes = b->stream_bytes - bytes;
	(void)printf("\n%u streams: %.0f tokens/s, %.1f MB/s, %zu failed\n",
	    b->streams, (double)tokens / wall, (double)bytes / wall / 1e6,
	    b->ways[1].failed);
	if (cpu > 0)
		(void)printf("instance: %.0f%% of a core, %.0f tokens per "
			     "processor second, %.1f MB resident\n",
		    100 * cpu / wall, (double)tokens / cpu,
		    resident_mb(b->pid));
}

int
bench_entry(int argc, char **argv)
{
	entry_bench_t b = {0};
	const char *direct = bench_option(argc, argv, "direct", NULL);
	const char *through = bench_option(argc, argv, "through", NULL);
	const char *path = "/v1/chat/completions";

	if (direct == NULL || through == NULL) {
		(void)fprintf(stderr,
		    "usage: almond-bench entry --direct=IP:PORT "
		    "--through=IP:PORT --key=KEY [--model=NAME] [--rate=200] "
		    "[--streams=500] [--time=10] [--pid=PID]\n"
		    "scripts/bench-entry starts what it needs.\n");
		return 2;
	}
	(void)curl_global_init(CURL_GLOBAL_ALL);
	b.loop = ev_default_loop(0);
	b.httpc = at_httpc_new(b.loop);
	b.model = bench_option(argc, argv, "model", "notes-small");
	b.rate = strtod(bench_option(argc, argv, "rate", "200"), NULL);
	b.time_s = strtod(bench_option(argc, argv, "time", "10"), NULL);
	b.pid = strtol(bench_option(argc, argv, "pid", "0"), NULL, 10);
	b.streams = (uint32_t)strtoul(
	    bench_option(argc, argv, "streams", "500"), NULL, 10);
	(void)snprintf(b.direct, URL_SIZE, "http://%s%s", direct, path);
	(void)snprintf(b.through, URL_SIZE, "http://%s%s", through, path);
	(void)snprintf(b.bearer, sizeof(b.bearer), "Authorization: Bearer %s",
	    bench_option(argc, argv, "key", ""));
	b.ways[0].us = calloc(SAMPLES_MAX, sizeof(uint32_t));
	b.ways[1].us = calloc(SAMPLES_MAX, sizeof(uint32_t));
	if (b.ways[0].us == NULL || b.ways[1].us == NULL)
		return 1;
	run_latency(&b);
	run_streams(&b);
	at_httpc_delete(b.httpc);
	free(b.ways[0].us);
	free(b.ways[1].us);
	return 0;
}
