#include "daemon/requests/crashes.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "daemon/routing/engine_status.h"
#include "daemon/requests/exchange.h"
#include "io/clock.h"
#include "suspects.pb-c.h"

typedef Almondthread__SuspectsMessage message_t;
typedef Almondthread__SuspectsFingerprint fingerprint_t;
typedef Almondthread__SuspectsWord decision_t;

#define TICK_INTERVAL_S 0.1          /* period of at_suspects_tick() */
#define DECISIONS_INTERVAL_MS 10000u /* between broadcasts of all decisions */
#define PROBE_TIMEOUT_MS 1000u       /* timeout of a connection */
#define URL_SIZE 128
#define DECISIONS_MAX 256u /* decisions in one message */
#define VICTIMS_MAX 64u    /* fingerprints in one message about a crash */

typedef struct payload {
	uint8_t *data;
	size_t len;
	at_node_t *node;
} payload_t;

static void
send_payload(void *ctx, const at_peer_member_t *member)
{
	const payload_t *payload = ctx;

	(void)at_peers_send(payload->node->peers, &member->self.instance,
	    AT_PEER_SUSPECTS, payload->data, payload->len);
}

static void
broadcast(at_node_t *node, const message_t *message)
{
	payload_t payload = {.node = node};

	payload.len = almondthread__suspects_message__get_packed_size(message);
	payload.data = malloc(payload.len + 1);
	if (payload.data == NULL)
		return;
	(void)almondthread__suspects_message__pack(message, payload.data);
	at_peers_each(node->peers, send_payload, &payload);
	free(payload.data);
}

static void
on_crash(void *ctx, const at_name_t *backend, const at_fingerprint_t *victims,
    size_t count)
{
	at_node_t *node = ctx;
	message_t message = ALMONDTHREAD__SUSPECTS_MESSAGE__INIT;
	fingerprint_t fingerprints[VICTIMS_MAX];
	fingerprint_t *list[VICTIMS_MAX];
	size_t i;

	for (i = 0; i < count && i < VICTIMS_MAX; i++) {
		almondthread__suspects_fingerprint__init(&fingerprints[i]);
		fingerprints[i].high = victims[i].high;
		fingerprints[i].low = victims[i].low;
		list[i] = &fingerprints[i];
	}
	message.backend = (char *)(uintptr_t)backend->text;
	message.victims = list;
	message.n_victims = i;
	at_log(AT_LOG_WARN, "crashes", NULL,
	    "%s crashed with %zu requests in flight. The peers are notified.",
	    backend->text, count);
	broadcast(node, &message);
}

/* A message and the decisions that it points to. */
typedef struct decisions {
	message_t message;
	decision_t decisions[DECISIONS_MAX];
	fingerprint_t fingerprints[DECISIONS_MAX];
	decision_t *list[DECISIONS_MAX];
	uint64_t now_ms;
} decisions_t;

static void
add_decision(void *ctx, const at_suspect_t *suspect)
{
	decisions_t *decisions = ctx;
	size_t i = decisions->message.n_words;

	if ((suspect->suspicion != AT_SUSPICION_BLOCKED &&
		suspect->suspicion != AT_SUSPICION_LIFTED) ||
	    i == DECISIONS_MAX || suspect->expires_at_ms <= decisions->now_ms)
		return;
	almondthread__suspects_word__init(&decisions->decisions[i]);
	almondthread__suspects_fingerprint__init(&decisions->fingerprints[i]);
	decisions->fingerprints[i].high = suspect->fingerprint.high;
	decisions->fingerprints[i].low = suspect->fingerprint.low;
	decisions->decisions[i].fingerprint = &decisions->fingerprints[i];
	decisions->decisions[i].suspicion = (uint32_t)suspect->suspicion;
	decisions->decisions[i].lifetime_ms =
	    (uint32_t)(suspect->expires_at_ms - decisions->now_ms);
	decisions->list[i] = &decisions->decisions[i];
	decisions->message.n_words++;
}

static decisions_t *
decisions_new(void)
{
	decisions_t *decisions = calloc(1, sizeof(*decisions));

	if (decisions == NULL)
		return NULL;
	almondthread__suspects_message__init(&decisions->message);
	decisions->message.words = decisions->list;
	decisions->now_ms = at_clock_now_ms();
	return decisions;
}

static void
decisions_send(at_node_t *node, decisions_t *decisions)
{
	if (decisions->message.n_words > 0)
		broadcast(node, &decisions->message);
	free(decisions);
}

static void
on_change(void *ctx, const at_suspect_t *suspect)
{
	at_node_t *node = ctx;
	decisions_t *decisions = decisions_new();
	char text[AT_FINGERPRINT_TEXT_SIZE];

	at_fingerprint_format(&suspect->fingerprint, text);
	at_counters_add(node->counters, "suspicions_total", "suspicion",
	    at_suspicion_names[suspect->suspicion], 1);
	at_log(AT_LOG_WARN, "crashes", NULL,
	    "Suspicion of fingerprint %s changed to %s.", text,
	    at_suspicion_names[suspect->suspicion]);
	if (decisions == NULL)
		return;
	add_decision(decisions, suspect);
	decisions_send(node, decisions);
}

static void
apply_decisions(at_node_t *node, const message_t *message)
{
	size_t i;

	for (i = 0; i < message->n_words; i++) {
		const decision_t *decision = message->words[i];
		at_fingerprint_t fingerprint;

		if (decision->fingerprint == NULL)
			continue;
		fingerprint.high = decision->fingerprint->high;
		fingerprint.low = decision->fingerprint->low;
		at_suspects_apply_peer_decision(node->suspects, &fingerprint,
		    (at_suspicion_t)decision->suspicion, decision->lifetime_ms,
		    at_clock_now_ms());
	}
}

static void
apply_crash(at_node_t *node, const message_t *message)
{
	at_fingerprint_t victims[VICTIMS_MAX];
	at_name_t backend;
	size_t count;

	if (at_name_set(&backend, message->backend) != 0)
		return;
	for (count = 0; count < message->n_victims && count < VICTIMS_MAX;
	     count++) {
		victims[count].high = message->victims[count]->high;
		victims[count].low = message->victims[count]->low;
	}
	at_suspects_apply_peer_crash(
	    node->suspects, &backend, victims, count, at_clock_now_ms());
}

static void
on_message(
    void *ctx, const at_peer_member_t *from, const void *data, size_t len)
{
	at_node_t *node = ctx;
	message_t *message =
	    almondthread__suspects_message__unpack(NULL, len, data);

	(void)from;
	if (message == NULL)
		return;
	apply_crash(node, message);
	apply_decisions(node, message);
	almondthread__suspects_message__free_unpacked(message, NULL);
}

at_code_t
at_crashes_new(at_node_t *node)
{
	const at_suspects_events_t events = {on_crash, on_change, node};

	node->suspects = at_suspects_new();
	if (node->suspects == NULL)
		return AT_EXHAUSTED;
	at_suspects_set_events(node->suspects, &events);
	at_peers_set_handler(node->peers, AT_PEER_SUSPECTS, on_message, node);
	return AT_OK;
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_node_t *node = timer->data;
	uint64_t now_ms = at_clock_now_ms();
	decisions_t *decisions;

	(void)loop;
	(void)events;
	at_suspects_tick(node->suspects, now_ms);
	at_exchange_retry_waiting(node);
	if (now_ms < node->decisions_due_ms)
		return;
	node->decisions_due_ms = now_ms + DECISIONS_INTERVAL_MS;
	decisions = decisions_new();
	if (decisions == NULL)
		return;
	at_suspects_each(node->suspects, add_decision, decisions);
	decisions_send(node, decisions);
}

void
at_crashes_start(at_node_t *node)
{
	ev_timer_init(
	    &node->suspects_timer, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	node->suspects_timer.data = node;
	ev_timer_start(node->loop, &node->suspects_timer);
}

void
at_crashes_delete(at_node_t *node)
{
	ev_timer_stop(node->loop, &node->suspects_timer);
	at_suspects_delete(node->suspects);
}

/* A connection that checks whether a plain service is alive. */
typedef struct probe {
	at_node_t *node;
	at_name_t backend;
	uint64_t requested_ms;
} probe_t;

static void
on_probed(void *ctx, const at_transfer_result_t *result)
{
	probe_t *probe = ctx;
	at_node_t *node = probe->node;
	at_backend_t *backend =
	    at_backends_find(node->backends, probe->backend.text);

	if (backend != NULL) {
		backend->is_polling = 0;
		if (result->is_complete)
			at_crashes_apply_report(
			    node, backend, 0, probe->requested_ms);
		else
			at_crashes_note_unreachable(node, backend);
	}
	free(probe);
}

void
at_crashes_note_connection_lost(at_node_t *node, at_backend_t *backend)
{
	char url[URL_SIZE];
	const at_transfer_spec_t spec = {.method = "GET",
	    .url = url,
	    .total_ms = PROBE_TIMEOUT_MS,
	    .connect_only = 1,
	    .new_connection = 1};
	at_transfer_events_t events = {.on_done = on_probed};
	probe_t *probe;

	if (backend->is_polling)
		return;
	if (backend->instance.kind == AT_INSTANCE_ENGINE) {
		at_engine_status_request(node, backend);
		return;
	}
	probe = calloc(1, sizeof(*probe));
	if (probe == NULL)
		return;
	probe->node = node;
	probe->backend = backend->instance.name;
	/* Executions that ended in this millisecond are covered, too. */
	probe->requested_ms = at_clock_now_ms() + 1;
	events.ctx = probe;
	(void)snprintf(
	    url, sizeof(url), "http://%s/", backend->instance.address);
	if (at_httpc_start(node->httpc, &spec, &events) == NULL)
		free(probe);
	else
		backend->is_polling = 1;
}

void
at_crashes_note_unreachable(at_node_t *node, at_backend_t *backend)
{
	if (backend->is_down)
		return;
	backend->is_down = 1;
	at_suspects_note_crash(
	    node->suspects, &backend->instance.name, at_clock_now_ms());
}

void
at_crashes_apply_report(at_node_t *node, at_backend_t *backend,
    uint64_t incarnation, uint64_t requested_ms)
{
	uint64_t previous = backend->view.incarnation;
	int restarted =
	    previous != 0 && incarnation != 0 && incarnation != previous;

	backend->view.incarnation = incarnation;
	if (restarted && !backend->is_down)
		at_suspects_note_crash(
		    node->suspects, &backend->instance.name, at_clock_now_ms());
	else if (!restarted)
		at_suspects_note_alive(
		    node->suspects, &backend->instance.name, requested_ms);
	backend->is_down = 0;
}

/* The request for which backend servers are excluded. */
typedef struct exclusion {
	const at_suspects_t *suspects;
	const at_fingerprint_t *fingerprint;
	uint64_t now_ms;
} exclusion_t;

static void
exclude_backend(void *ctx, at_backend_t *backend)
{
	const exclusion_t *exclusion = ctx;

	backend->is_excluded =
	    !at_suspects_may_run(exclusion->suspects, exclusion->fingerprint,
		backend->instance.name.text, exclusion->now_ms);
}

void
at_crashes_exclude_backends(
    at_node_t *node, const at_fingerprint_t *fingerprint)
{
	exclusion_t exclusion = {
	    node->suspects, fingerprint, at_clock_now_ms()};

	if (!at_suspects_is_unrestricted(node->suspects))
		at_backends_each(node->backends, exclude_backend, &exclusion);
}

static void
include_backend(void *ctx, at_backend_t *backend)
{
	(void)ctx;
	backend->is_excluded = 0;
}

void
at_crashes_include_backends(at_node_t *node)
{
	if (!at_suspects_is_unrestricted(node->suspects))
		at_backends_each(node->backends, include_backend, NULL);
}

static void
add_suspect(void *ctx, const at_suspect_t *suspect)
{
	json_t *list = ctx;
	uint64_t now_ms = at_clock_now_ms();
	char text[AT_FINGERPRINT_TEXT_SIZE];
	uint64_t remaining_ms = suspect->expires_at_ms > now_ms
				    ? suspect->expires_at_ms - now_ms
				    : 0;

	at_fingerprint_format(&suspect->fingerprint, text);
	json_array_append_new(
	    list, json_pack("{s:s,s:s,s:i,s:I}", "fingerprint", text,
		      "suspicion", at_suspicion_names[suspect->suspicion],
		      "crashes", (int)suspect->crashes, "expires_in_ms",
		      (json_int_t)remaining_ms));
}

json_t *
at_crashes_list(at_node_t *node)
{
	json_t *list = json_array();

	at_suspects_each(node->suspects, add_suspect, list);
	return list;
}

int
at_crashes_lift(at_node_t *node, const char *text)
{
	at_fingerprint_t fingerprint;

	if (text == NULL || at_fingerprint_parse(&fingerprint, text) != 0)
		return -1;
	return at_suspects_lift(
	    node->suspects, &fingerprint, at_clock_now_ms());
}
