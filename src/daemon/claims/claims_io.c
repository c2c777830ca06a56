#include "daemon/claims/claims_io.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "io/clock.h"

#define TICK_INTERVAL_S 0.005  /* while claims are pending */
#define CLAIM_TIMEOUT_MS 1500u /* longest wait for a claim */
#define FLEET_PUTS_PER_S 180u  /* claims' part of the platform's write limit */
#define REFRESH_INTERVAL_MS 1000u /* between calls of refresh() */
/* Claims are retained for at least this multiple of the longest deadline. */
#define RETENTION_DEADLINES 2u
#define RESPONSE_NOT_STORED                                        \
	"{\"verdict\":\"ran\",\"note\":\"The request ran before; " \
	"its answer was not kept.\"}"

/* One request, from its arrival to the end of its claim. */
typedef struct claim_request {
	struct claim_request *next;
	struct claim_request *prev;
	at_claims_io_t *io;
	at_httpd_request_t *request; /* NULL once it runs or has ended */
	at_exchange_spec_t spec;     /* texts are borrowed from the request */
	at_name_t target;
	at_name_t workspace;
	at_claim_t *claim;
	uint64_t requested_ms;
} claim_request_t;

struct at_claims_io {
	at_node_t *node;
	at_claims_t *ledger;
	ev_timer tick;
	uint64_t refreshed_ms; /* when the put rate was last set */
	claim_request_t *requests;
};

at_claims_io_t *
at_claims_io_new(at_node_t *node)
{
	at_claims_io_t *io = calloc(1, sizeof(*io));

	if (io == NULL)
		return NULL;
	io->node = node;
	io->ledger = at_claims_new();
	if (io->ledger == NULL) {
		free(io);
		return NULL;
	}
	return io;
}

static void
request_free(claim_request_t *pending)
{
	DL_DELETE(pending->io->requests, pending);
	free(pending);
}

void
at_claims_io_delete(at_claims_io_t *io)
{
	if (io == NULL)
		return;
	ev_timer_stop(io->node->loop, &io->tick);
	while (io->requests != NULL)
		request_free(io->requests);
	at_claims_delete(io->ledger);
	free(io);
}

static void
update_counters(at_claims_io_t *io)
{
	const at_claims_stats_t *stats = at_claims_stats(io->ledger);
	const struct {
		const char *result;
		uint64_t count;
	} puts[] = {{"ok", stats->puts_ok}, {"conflict", stats->puts_conflict},
	    {"unknown", stats->puts_unknown},
	    {"not_sent", stats->puts_not_sent}};
	const struct {
		const char *name;
		uint64_t count;
	} totals[] = {{"claims_reads_total", stats->reads},
	    {"claims_settled_total", stats->settled},
	    {"claims_released_total", stats->released},
	    {"claims_recovered_total", stats->recovered},
	    {"claims_refused_full_total", stats->refused_full},
	    {"claims_pruned_total", stats->pruned},
	    {"claims_answers_dropped_total", stats->responses_dropped},
	    {"claims_malformed_total", stats->malformed},
	    {"claims_unsettled", at_claims_unsettled_count(io->ledger)}};
	at_counters_t *counters = io->node->counters;
	size_t i;

	for (i = 0; i < AT_CLAIM_OUTCOME_COUNT; i++)
		at_counters_set(counters, "claims_total", "outcome",
		    at_claim_outcome_names[i], stats->outcomes[i]);
	for (i = 0; i < sizeof(puts) / sizeof(puts[0]); i++)
		at_counters_set(counters, "claims_puts_total", "result",
		    puts[i].result, puts[i].count);
	for (i = 0; i < sizeof(totals) / sizeof(totals[0]); i++)
		at_counters_set(
		    counters, totals[i].name, NULL, NULL, totals[i].count);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_claims_io_t *io = timer->data;

	(void)events;
	at_claims_tick(io->ledger);
	if (at_claims_pending_count(io->ledger) > 0)
		return;
	update_counters(io);
	ev_timer_stop(loop, timer);
}

void
at_claims_io_init(at_claims_io_t *io)
{
	const at_clock_t clock = at_clock_system();

	at_claims_set_store(io->ledger, &io->node->store);
	at_claims_set_clock(io->ledger, &clock);
	at_claims_set_random(io->ledger, &io->node->random);
	at_claims_set_self(io->ledger, &io->node->self);
	ev_timer_init(&io->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	io->tick.data = io;
	update_counters(io);
}

static void
count_member(void *ctx, const at_peer_member_t *member)
{
	uint32_t *count = ctx;

	*count += member->is_listed && !member->is_leaving;
}

/* Returns the retention of claims, which outlasts the longest deadline. */
static uint32_t
retention_s(const at_config_t *config)
{
	uint32_t longest_ms = config->defaults.deadline_ms;
	uint32_t min_s;
	size_t i;

	for (i = 0; i < config->route_count; i++) {
		if (config->routes[i].deadline_ms > longest_ms)
			longest_ms = config->routes[i].deadline_ms;
	}
	min_s = longest_ms / AT_MS_PER_S * RETENTION_DEADLINES;
	return config->defaults.claim_retention_s > min_s
		   ? config->defaults.claim_retention_s
		   : min_s;
}

/* Applies the configuration and divides the write rate among the instances. */
static void
refresh(at_claims_io_t *io)
{
	uint64_t now_ms = at_clock_now_ms();
	uint32_t members = 1;

	if (io->refreshed_ms != 0 &&
	    now_ms < io->refreshed_ms + REFRESH_INTERVAL_MS)
		return;
	io->refreshed_ms = now_ms;
	at_claims_set_retention(io->ledger, retention_s(io->node->config));
	at_peers_each(io->node->peers, count_member, &members);
	at_claims_set_put_rate(io->ledger,
	    members >= FLEET_PUTS_PER_S ? 1 : FLEET_PUTS_PER_S / members);
	update_counters(io);
}

void
at_claims_io_wake(at_claims_io_t *io)
{
	refresh(io);
	if (!ev_is_active(&io->tick))
		ev_timer_again(io->node->loop, &io->tick);
}

size_t
at_claims_io_unsettled_count(const at_claims_io_t *io)
{
	return at_claims_unsettled_count(io->ledger);
}

at_claims_t *
at_claims_io_ledger(at_claims_io_t *io)
{
	return io->ledger;
}

/* Joins the content type and the body of a response; NULL if out of memory. */
static char *
pack_response(const at_exchange_end_t *end, size_t *len)
{
	size_t type_len = strlen(end->content_type) + 1;
	char *packed = malloc(type_len + end->body_len);

	if (packed == NULL)
		return NULL;
	*len = type_len + end->body_len;
	memcpy(packed, end->content_type, type_len);
	if (end->body_len > 0)
		memcpy(packed + type_len, end->body, end->body_len);
	return packed;
}

static void
settle_claim(
    at_claims_t *ledger, at_claim_t *claim, const at_exchange_end_t *end)
{
	/* A response of this length is too long to be stored. */
	size_t len = AT_CLAIM_RESPONSE_MAX_BYTES + 1;
	char *packed = NULL;

	if (end->body != NULL && end->content_type != NULL)
		packed = pack_response(end, &len);
	at_claims_settle(
	    ledger, claim, (uint16_t)end->http_status, packed, len);
	free(packed);
}

void
at_claims_io_note_ended(
    at_claims_io_t *io, at_claim_t *claim, const at_exchange_end_t *end)
{
	if (end->verdict == AT_VERDICT_RAN)
		settle_claim(io->ledger, claim, end);
	else if (end->verdict == AT_VERDICT_NOT_RUN)
		at_claims_release(io->ledger, claim);
	else
		at_claims_abandon(io->ledger, claim);
	at_claims_io_wake(io);
}

int
at_claims_io_response(const at_claim_result_t *result, at_exchange_end_t *end)
{
	const char *packed = result->response;
	const char *nul = result->response_stored && result->response_len > 0
			      ? memchr(packed, '\0', result->response_len)
			      : NULL;

	memset(end, 0, sizeof(*end));
	end->verdict = AT_VERDICT_RAN;
	end->http_status = result->status;
	if (nul == NULL)
		return -1;
	end->content_type = packed;
	end->body = nul + 1;
	end->body_len = result->response_len - (size_t)(nul + 1 - packed);
	return 0;
}

static void
on_done(void *ctx, const at_exchange_end_t *end)
{
	claim_request_t *pending = ctx;

	at_claims_io_note_ended(pending->io, pending->claim, end);
	request_free(pending);
}

static void
run_request(claim_request_t *pending)
{
	uint64_t waited_ms = at_clock_now_ms() - pending->requested_ms;
	at_httpd_request_t *request = pending->request;

	pending->request = NULL;
	pending->spec.deadline_ms -= (uint32_t)waited_ms;
	pending->spec.on_done = on_done;
	pending->spec.done_ctx = pending;
	at_exchange_start(pending->io->node, request, &pending->spec);
}

static void
reply_stored(claim_request_t *pending, const at_claim_result_t *result)
{
	at_exchange_end_t end;
	int is_stored = at_claims_io_response(result, &end) == 0;
	const at_header_t headers[] = {
	    {"Content-Type", is_stored ? end.content_type : "application/json"},
	    {"X-Request-Id", at_httpd_id(pending->request)},
	    {"X-Verdict", "ran"},
	    {"X-Answer", is_stored ? "stored" : "not-kept"}, {NULL, NULL}};

	if (is_stored)
		at_httpd_reply(pending->request, end.http_status, headers,
		    end.body, end.body_len);
	else
		at_httpd_reply(pending->request, end.http_status, headers,
		    RESPONSE_NOT_STORED, strlen(RESPONSE_NOT_STORED));
}

static void
refuse(claim_request_t *pending, at_reason_t reason, uint32_t retry_after_ms)
{
	at_refuse(pending->io->node, pending->request, reason,
	    at_reason_verdict(reason), retry_after_ms);
}

static void
on_claim(void *ctx, at_claim_t *claim, const at_claim_result_t *result)
{
	claim_request_t *pending = ctx;

	pending->claim = claim;
	at_httpd_set_end_handler(pending->request, NULL, NULL);
	at_httpd_set_caller_closed_handler(pending->request, NULL);
	switch (result->outcome) {
	case AT_CLAIM_GRANTED:
		run_request(pending);
		return;
	case AT_CLAIM_COMPLETED:
		reply_stored(pending, result);
		break;
	case AT_CLAIM_MISMATCH:
		refuse(pending, AT_REASON_CLAIM_MISMATCH, 0);
		break;
	case AT_CLAIM_IN_FLIGHT:
		refuse(
		    pending, AT_REASON_CLAIM_IN_FLIGHT, result->retry_after_ms);
		break;
	default:
		refuse(pending, AT_REASON_CLAIM_UNAVAILABLE,
		    result->retry_after_ms);
		break;
	}
	request_free(pending);
}

/* Cancels the claim when the request ends before the claim is decided. */
static void
on_end(void *ctx, int caller_closed)
{
	claim_request_t *pending = ctx;

	if (caller_closed)
		at_counters_add_refusal(
		    pending->io->node->counters, AT_REASON_CALLER_GONE);
	at_claims_cancel(pending->io->ledger, pending->claim);
	request_free(pending);
}

void
at_claims_io_hash(const at_exchange_spec_t *spec, const char *route,
    at_claim_hash_t *key, at_claim_hash_t *digest)
{
	const void *names[] = {spec->workspace, spec->target, spec->method,
	    route, spec->idempotency_key};
	const size_t name_lens[] = {strlen(spec->workspace),
	    strlen(spec->target), strlen(spec->method), strlen(route),
	    strlen(spec->idempotency_key)};
	const void *content[] = {spec->path, spec->body};
	const size_t content_lens[] = {strlen(spec->path), spec->body_len};

	at_claim_hash(key, names, name_lens, 5);
	at_claim_hash(digest, content, content_lens, 2);
}

static void
request_claim(claim_request_t *pending, const at_route_t *route)
{
	at_claim_hash_t key;
	at_claim_hash_t digest;
	uint32_t wait_ms = pending->spec.deadline_ms / 2;

	if (wait_ms > CLAIM_TIMEOUT_MS)
		wait_ms = CLAIM_TIMEOUT_MS;
	at_claims_io_hash(&pending->spec, route->path, &key, &digest);
	pending->claim = at_claims_request(
	    pending->io->ledger, &key, &digest, wait_ms, on_claim, pending);
	if (pending->claim == NULL) {
		refuse(pending, AT_REASON_CLAIM_UNAVAILABLE, AT_MS_PER_S);
		request_free(pending);
		return;
	}
	at_httpd_set_end_handler(pending->request, on_end, pending);
	at_claims_io_wake(pending->io);
}

void
at_claims_io_start(at_claims_io_t *io, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, const at_route_t *route)
{
	claim_request_t *pending;

	if (spec->repeat != AT_REPEAT_ONCE || spec->idempotency_key == NULL ||
	    spec->idempotency_key[0] == '\0') {
		at_exchange_start(io->node, request, spec);
		return;
	}
	pending = calloc(1, sizeof(*pending));
	if (pending == NULL ||
	    strlen(spec->idempotency_key) > AT_IDEMPOTENCY_KEY_MAX_BYTES) {
		free(pending);
		at_refuse(io->node, request, AT_REASON_BAD_REQUEST,
		    AT_VERDICT_NOT_RUN, 0);
		return;
	}
	pending->io = io;
	pending->request = request;
	pending->spec = *spec;
	(void)at_name_set(&pending->target, spec->target);
	(void)at_name_set(&pending->workspace, spec->workspace);
	pending->spec.target = pending->target.text;
	pending->spec.workspace = pending->workspace.text;
	pending->requested_ms = at_clock_now_ms();
	DL_PREPEND(io->requests, pending);
	request_claim(pending, route);
}
