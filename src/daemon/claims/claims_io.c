#include "daemon/claims/claims_io.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "io/clock.h"

#define TICK_S 0.005
#define CLAIM_WAIT_MS 1500u   /* longest wait for a claim */
#define FLEET_PUTS_S 180u     /* of the platform's writes, for claims */
#define SHARE_EVERY_MS 1000u  /* between two looks at the members */
#define DEADLINES_RETAINED 2u /* a claim outlives its request's deadline */
#define ANSWER_DROPPED                                             \
	"{\"verdict\":\"ran\",\"note\":\"The request ran before; " \
	"its answer was not kept.\"}"

/* One request between its arrival and the end of its claim. */
typedef struct claimed {
	struct claimed *next;
	struct claimed *prev;
	at_claims_io_t *io;
	at_httpd_request_t *request; /* NULL once it has gone on or ended */
	at_exchange_spec_t spec;     /* texts belong to the request */
	at_name_t target;
	at_name_t workspace;
	at_claim_t *claim;
	uint64_t asked_ms;
} claimed_t;

struct at_claims_io {
	at_node_t *node;
	at_claims_t *ledger;
	ev_timer tick;
	uint64_t shared_ms; /* when the put rate was last set */
	claimed_t *first;
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
claimed_free(claimed_t *c)
{
	DL_DELETE(c->io->first, c);
	free(c);
}

void
at_claims_io_delete(at_claims_io_t *io)
{
	if (io == NULL)
		return;
	ev_timer_stop(io->node->loop, &io->tick);
	while (io->first != NULL)
		claimed_free(io->first);
	at_claims_delete(io->ledger);
	free(io);
}

static void
publish(at_claims_io_t *io)
{
	const at_claims_stats_t *s = at_claims_stats(io->ledger);
	const struct {
		const char *result;
		uint64_t count;
	} puts[] = {{"ok", s->puts_ok}, {"conflict", s->puts_conflict},
	    {"unknown", s->puts_unknown}, {"not_sent", s->puts_not_sent}};
	const struct {
		const char *name;
		uint64_t count;
	} totals[] = {{"claims_reads_total", s->reads},
	    {"claims_settled_total", s->settled},
	    {"claims_released_total", s->released},
	    {"claims_recovered_total", s->recovered},
	    {"claims_refused_full_total", s->refused_full},
	    {"claims_pruned_total", s->pruned},
	    {"claims_answers_dropped_total", s->answers_dropped},
	    {"claims_malformed_total", s->malformed},
	    {"claims_unsettled", at_claims_unsettled_count(io->ledger)}};
	at_counters_t *counters = io->node->counters;
	size_t i;

	for (i = 0; i < AT_CLAIM_OUTCOME_COUNT; i++)
		at_counters_set(counters, "claims_total", "outcome",
		    at_claim_outcome_names[i], s->outcomes[i]);
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
	publish(io);
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
	ev_timer_init(&io->tick, on_tick, TICK_S, TICK_S);
	io->tick.data = io;
	publish(io);
}

static void
count_member(void *ctx, const at_peer_member_t *member)
{
	uint32_t *count = ctx;

	*count += member->is_listed && !member->is_leaving;
}

/* A claim outlives the longest request, whatever the configuration says. */
static uint32_t
retention_s(const at_config_t *config)
{
	uint32_t longest_ms = config->defaults.deadline_ms;
	uint32_t least_s;
	size_t i;

	for (i = 0; i < config->route_count; i++) {
		if (config->routes[i].deadline_ms > longest_ms)
			longest_ms = config->routes[i].deadline_ms;
	}
	least_s = longest_ms / AT_MS_PER_S * DEADLINES_RETAINED;
	return config->defaults.claim_retention_s > least_s
		   ? config->defaults.claim_retention_s
		   : least_s;
}

/* Takes over the configuration and this instance's part of the writes. */
static void
refresh(at_claims_io_t *io)
{
	uint64_t now_ms = at_clock_now_ms();
	uint32_t members = 1;

	if (io->shared_ms != 0 && now_ms < io->shared_ms + SHARE_EVERY_MS)
		return;
	io->shared_ms = now_ms;
	at_claims_set_retention(io->ledger, retention_s(io->node->config));
	at_peers_each(io->node->peers, count_member, &members);
	at_claims_set_put_rate(
	    io->ledger, members >= FLEET_PUTS_S ? 1 : FLEET_PUTS_S / members);
	publish(io);
}

void
at_claims_io_wake(at_claims_io_t *io)
{
	refresh(io);
	if (!ev_is_active(&io->tick))
		ev_timer_again(io->node->loop, &io->tick);
}

size_t
at_claims_io_unsettled(const at_claims_io_t *io)
{
	return at_claims_unsettled_count(io->ledger);
}

at_claims_t *
at_claims_io_ledger(at_claims_io_t *io)
{
	return io->ledger;
}

/* Joins an answer's type and body for the ledger; NULL without memory. */
static char *
pack(const at_exchange_end_t *end, size_t *len)
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
settle(at_claims_t *ledger, at_claim_t *claim, const at_exchange_end_t *end)
{
	size_t len = AT_CLAIM_RESPONSE_MAX_BYTES + 1; /* not kept */
	char *packed = NULL;

	if (end->body != NULL && end->content_type != NULL)
		packed = pack(end, &len);
	at_claims_settle(
	    ledger, claim, (uint16_t)end->http_status, packed, len);
	free(packed);
}

void
at_claims_io_end(
    at_claims_io_t *io, at_claim_t *claim, const at_exchange_end_t *end)
{
	if (end->verdict == AT_VERDICT_RAN)
		settle(io->ledger, claim, end);
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
on_exchanged(void *ctx, const at_exchange_end_t *end)
{
	claimed_t *c = ctx;

	at_claims_io_end(c->io, c->claim, end);
	claimed_free(c);
}

static void
exchange(claimed_t *c)
{
	uint64_t waited_ms = at_clock_now_ms() - c->asked_ms;
	at_httpd_request_t *request = c->request;

	c->request = NULL;
	c->spec.deadline_ms -= (uint32_t)waited_ms;
	c->spec.on_done = on_exchanged;
	c->spec.done_ctx = c;
	at_exchange_start(c->io->node, request, &c->spec);
}

static void
reply_stored(claimed_t *c, const at_claim_result_t *result)
{
	at_exchange_end_t end;
	int kept = at_claims_io_response(result, &end) == 0;
	const at_header_t headers[] = {
	    {"Content-Type", kept ? end.content_type : "application/json"},
	    {"X-Request-Id", at_httpd_id(c->request)}, {"X-Verdict", "ran"},
	    {"X-Answer", kept ? "stored" : "not-kept"}, {NULL, NULL}};

	if (kept)
		at_httpd_reply(c->request, end.http_status, headers, end.body,
		    end.body_len);
	else
		at_httpd_reply(c->request, end.http_status, headers,
		    ANSWER_DROPPED, strlen(ANSWER_DROPPED));
}

static void
refuse(claimed_t *c, at_reason_t reason, uint32_t retry_after_ms)
{
	at_refuse(c->io->node, c->request, reason, at_reason_verdict(reason),
	    retry_after_ms);
}

static void
on_claim(void *ctx, at_claim_t *claim, const at_claim_result_t *result)
{
	claimed_t *c = ctx;

	c->claim = claim;
	at_httpd_set_end_handler(c->request, NULL, NULL);
	at_httpd_set_caller_closed_handler(c->request, NULL);
	switch (result->outcome) {
	case AT_CLAIM_GRANTED:
		exchange(c);
		return;
	case AT_CLAIM_COMPLETED:
		reply_stored(c, result);
		break;
	case AT_CLAIM_MISMATCH:
		refuse(c, AT_REASON_CLAIM_MISMATCH, 0);
		break;
	case AT_CLAIM_IN_FLIGHT:
		refuse(c, AT_REASON_CLAIM_IN_FLIGHT, result->retry_after_ms);
		break;
	default:
		refuse(c, AT_REASON_CLAIM_UNAVAILABLE, result->retry_after_ms);
		break;
	}
	claimed_free(c);
}

/* The request ended before its claim was decided: the caller is gone. */
static void
on_end(void *ctx, int gone)
{
	claimed_t *c = ctx;

	if (gone)
		at_counters_add_refusal(
		    c->io->node->counters, AT_REASON_CALLER_GONE);
	at_claims_cancel(c->io->ledger, c->claim);
	claimed_free(c);
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
ask(claimed_t *c, const at_route_t *route)
{
	at_claim_hash_t key;
	at_claim_hash_t digest;
	uint32_t wait_ms = c->spec.deadline_ms / 2;

	if (wait_ms > CLAIM_WAIT_MS)
		wait_ms = CLAIM_WAIT_MS;
	at_claims_io_hash(&c->spec, route->path, &key, &digest);
	c->claim = at_claims_request(
	    c->io->ledger, &key, &digest, wait_ms, on_claim, c);
	if (c->claim == NULL) {
		refuse(c, AT_REASON_CLAIM_UNAVAILABLE, AT_MS_PER_S);
		claimed_free(c);
		return;
	}
	at_httpd_set_end_handler(c->request, on_end, c);
	at_claims_io_wake(c->io);
}

void
at_claims_io_start(at_claims_io_t *io, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, const at_route_t *route)
{
	claimed_t *c;

	if (spec->repeat != AT_REPEAT_ONCE || spec->idempotency_key == NULL ||
	    spec->idempotency_key[0] == '\0') {
		at_exchange_start(io->node, request, spec);
		return;
	}
	c = calloc(1, sizeof(*c));
	if (c == NULL ||
	    strlen(spec->idempotency_key) > AT_IDEMPOTENCY_KEY_MAX) {
		free(c);
		at_refuse(io->node, request, AT_REASON_BAD_REQUEST,
		    AT_VERDICT_NOT_RUN, 0);
		return;
	}
	c->io = io;
	c->request = request;
	c->spec = *spec;
	(void)at_name_set(&c->target, spec->target);
	(void)at_name_set(&c->workspace, spec->workspace);
	c->spec.target = c->target.text;
	c->spec.workspace = c->workspace.text;
	c->asked_ms = at_clock_now_ms();
	DL_PREPEND(io->first, c);
	ask(c, route);
}
