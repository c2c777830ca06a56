#include "daemon/routing/routing.h"

#include <string.h>

#include "io/clock.h"

#define BYTES_PER_TOKEN 4u /* rough average of a prompt */

void
at_routing_apply_report(at_node_t *node, const at_backend_t *backend)
{
	at_engine_view_t view = backend->view;

	view.name = backend->instance.name;
	view.data_centre = backend->instance.data_centre;
	view.is_leaving = backend->instance.is_leaving || !backend->is_listed;
	(void)at_router_apply_report(node->router, &view);
}

void
at_routing_remove(void *ctx, at_backend_t *backend)
{
	at_node_t *node = ctx;

	at_router_remove(node->router, &backend->instance.name);
}

static void
update_leaving(void *ctx, at_backend_t *backend)
{
	at_node_t *node = ctx;

	at_router_set_leaving(node->router, &backend->instance.name,
	    backend->instance.is_leaving || !backend->is_listed);
}

void
at_routing_update_list(at_node_t *node)
{
	at_backends_each(node->backends, update_leaving, node);
}

/* Returns the part of the body that an engine's prefix cache is based on. */
static const char *
find_prompt(const exchange_t *exchange, size_t *len)
{
	const at_shared_body_t *body = exchange->body;
	const char *start;

	*len = 0;
	if (body == NULL)
		return "";
	start = memmem(body->data, body->len, "\"messages\"", 10);
	if (start == NULL)
		start = memmem(body->data, body->len, "\"prompt\"", 8);
	if (start == NULL)
		start = body->data;
	*len = body->len - (size_t)(start - body->data);
	return start;
}

static int
may_run(void *ctx, const at_name_t *engine)
{
	const exchange_t *exchange = ctx;

	return at_suspects_may_run(exchange->node->suspects,
	    &exchange->fingerprint, engine->text, at_clock_now_ms());
}

static void
build_request(const transport_t *transport, at_route_request_t *request,
    uint64_t hashes[AT_PREFIX_BLOCKS_MAX])
{
	const exchange_t *exchange = transport->exchange;
	size_t len;
	const char *prompt = find_prompt(exchange, &len);
	uint32_t k;

	memset(request, 0, sizeof(*request));
	request->target = exchange->target.text;
	request->prompt_tokens = (uint32_t)(len / BYTES_PER_TOKEN);
	request->prefix_hashes = hashes;
	request->prefix_count =
	    at_prefix_compute_hashes(exchange->workspace.text,
		exchange->target.text, prompt, len, BYTES_PER_TOKEN, hashes);
	request->deadline_ms = exchange->node->config->defaults.first_byte_ms;
	if (exchange->avoids_suspects) {
		request->may_run = may_run;
		request->may_run_ctx = transport->exchange;
	}
	for (k = 0; k < transport->number && k < AT_ROUTER_AVOID_MAX; k++)
		request->avoid[k] = &exchange->transports[k].backend;
}

at_reason_t
at_routing_choose(transport_t *transport, at_backend_t **backend)
{
	at_node_t *node = transport->exchange->node;
	uint64_t hashes[AT_PREFIX_BLOCKS_MAX];
	at_route_request_t request;
	at_reason_t reason;

	*backend = NULL;
	build_request(transport, &request, hashes);
	reason = at_router_choose(
	    node->router, &request, at_clock_now_ms(), &transport->choice);
	if (reason != AT_REASON_NONE)
		return reason;
	*backend =
	    at_backends_find(node->backends, transport->choice.engine.text);
	return *backend == NULL ? AT_REASON_NO_BACKEND : AT_REASON_NONE;
}

void
at_routing_note_sent(transport_t *transport)
{
	at_node_t *node = transport->exchange->node;
	uint64_t hashes[AT_PREFIX_BLOCKS_MAX];
	at_route_request_t request;

	if (transport->exchange->kind != AT_INSTANCE_ENGINE)
		return;
	build_request(transport, &request, hashes);
	transport->is_routed = 1;
	transport->sent_at_ms = at_clock_now_ms();
	at_router_note_sent(
	    node->router, &request, &transport->choice, transport->sent_at_ms);
	at_counters_add(node->counters, "routes_total", "why",
	    at_route_choice_reason_names[transport->choice.reason], 1);
}

void
at_routing_note_first_token(transport_t *transport)
{
	uint64_t elapsed_ms = at_clock_now_ms() - transport->sent_at_ms;

	if (!transport->is_routed || transport->has_first_token)
		return;
	transport->has_first_token = 1;
	at_router_note_first_token(transport->exchange->node->router,
	    &transport->choice, (uint32_t)elapsed_ms);
}

void
at_routing_note_ended(transport_t *transport, int failed)
{
	if (!transport->is_routed)
		return;
	transport->is_routed = 0;
	at_router_note_ended(transport->exchange->node->router,
	    &transport->choice, failed, at_clock_now_ms());
}
