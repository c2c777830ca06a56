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
typedef Almondthread__SuspectsFingerprint print_t;
typedef Almondthread__SuspectsWord word_t;

#define JUDGE_EVERY_S 0.1      /* between two looks at crashes */
#define REPEAT_WORDS_MS 10000u /* between two tellings of convictions */
#define PROBE_MS 1000u         /* longest wait for a connection */
#define URL_SIZE 128
#define WORDS_MAX 256u  /* in one message */
#define VICTIMS_MAX 64u /* in one message */

typedef struct payload {
	uint8_t *data;
	size_t len;
	at_node_t *node;
} payload_t;

static void
send_payload(void *ctx, const at_peer_member_t *member)
{
	const payload_t *p = ctx;

	(void)at_peers_send(p->node->peers, &member->self.instance,
	    AT_PEER_SUSPECTS, p->data, p->len);
}

static void
tell_peers(at_node_t *node, const message_t *message)
{
	payload_t p = {.node = node};

	p.len = almondthread__suspects_message__get_packed_size(message);
	p.data = malloc(p.len + 1);
	if (p.data == NULL)
		return;
	(void)almondthread__suspects_message__pack(message, p.data);
	at_peers_each(node->peers, send_payload, &p);
	free(p.data);
}

static void
on_crash(void *ctx, const at_name_t *backend, const at_fingerprint_t *victims,
    size_t count)
{
	at_node_t *node = ctx;
	message_t message = ALMONDTHREAD__SUSPECTS_MESSAGE__INIT;
	print_t prints[VICTIMS_MAX];
	print_t *list[VICTIMS_MAX];
	size_t i;

	for (i = 0; i < count && i < VICTIMS_MAX; i++) {
		almondthread__suspects_fingerprint__init(&prints[i]);
		prints[i].high = victims[i].high;
		prints[i].low = victims[i].low;
		list[i] = &prints[i];
	}
	message.backend = (char *)(uintptr_t)backend->text;
	message.victims = list;
	message.n_victims = i;
	at_log(AT_LOG_WARN, "crashes", NULL,
	    "%s crashed with %zu requests of ours in flight.", backend->text,
	    count);
	tell_peers(node, &message);
}

/* A message that is being filled with words. */
typedef struct words {
	message_t message;
	word_t words[WORDS_MAX];
	print_t prints[WORDS_MAX];
	word_t *list[WORDS_MAX];
	uint64_t now_ms;
} words_t;

static void
add_word(void *ctx, const at_suspect_t *suspect)
{
	words_t *w = ctx;
	size_t i = w->message.n_words;

	if ((suspect->suspicion != AT_SUSPICION_BLOCKED &&
		suspect->suspicion != AT_SUSPICION_LIFTED) ||
	    i == WORDS_MAX || suspect->expires_at_ms <= w->now_ms)
		return;
	almondthread__suspects_word__init(&w->words[i]);
	almondthread__suspects_fingerprint__init(&w->prints[i]);
	w->prints[i].high = suspect->fingerprint.high;
	w->prints[i].low = suspect->fingerprint.low;
	w->words[i].fingerprint = &w->prints[i];
	w->words[i].suspicion = (uint32_t)suspect->suspicion;
	w->words[i].lifetime_ms =
	    (uint32_t)(suspect->expires_at_ms - w->now_ms);
	w->list[i] = &w->words[i];
	w->message.n_words++;
}

static words_t *
words_new(void)
{
	words_t *w = calloc(1, sizeof(*w));

	if (w == NULL)
		return NULL;
	almondthread__suspects_message__init(&w->message);
	w->message.words = w->list;
	w->now_ms = at_clock_now_ms();
	return w;
}

static void
words_send(at_node_t *node, words_t *w)
{
	if (w->message.n_words > 0)
		tell_peers(node, &w->message);
	free(w);
}

static void
on_change(void *ctx, const at_suspect_t *suspect)
{
	at_node_t *node = ctx;
	words_t *w = words_new();
	char text[AT_FINGERPRINT_TEXT_SIZE];

	at_fingerprint_format(&suspect->fingerprint, text);
	at_counters_add(node->counters, "suspicions_total", "suspicion",
	    at_suspicion_names[suspect->suspicion], 1);
	at_log(AT_LOG_WARN, "crashes", NULL, "Fingerprint %s is %s.", text,
	    at_suspicion_names[suspect->suspicion]);
	if (w == NULL)
		return;
	add_word(w, suspect);
	words_send(node, w);
}

static void
take_words(at_node_t *node, const message_t *message)
{
	size_t i;

	for (i = 0; i < message->n_words; i++) {
		const word_t *word = message->words[i];
		at_fingerprint_t print;

		if (word->fingerprint == NULL)
			continue;
		print.high = word->fingerprint->high;
		print.low = word->fingerprint->low;
		at_suspects_apply_peer_decision(node->suspects, &print,
		    (at_suspicion_t)word->suspicion, word->lifetime_ms,
		    at_clock_now_ms());
	}
}

static void
take_crash(at_node_t *node, const message_t *message)
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
	take_crash(node, message);
	take_words(node, message);
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
on_judge(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_node_t *node = timer->data;
	uint64_t now_ms = at_clock_now_ms();
	words_t *w;

	(void)loop;
	(void)events;
	at_suspects_tick(node->suspects, now_ms);
	at_exchange_retry_waiting(node);
	if (now_ms < node->decisions_due_ms)
		return;
	node->decisions_due_ms = now_ms + REPEAT_WORDS_MS;
	w = words_new();
	if (w == NULL)
		return;
	at_suspects_each(node->suspects, add_word, w);
	words_send(node, w);
}

void
at_crashes_start(at_node_t *node)
{
	ev_timer_init(
	    &node->suspects_timer, on_judge, JUDGE_EVERY_S, JUDGE_EVERY_S);
	node->suspects_timer.data = node;
	ev_timer_start(node->loop, &node->suspects_timer);
}

void
at_crashes_delete(at_node_t *node)
{
	ev_timer_stop(node->loop, &node->suspects_timer);
	at_suspects_delete(node->suspects);
}

/* One look whether a plain service takes connections. */
typedef struct probe {
	at_node_t *node;
	at_name_t backend;
	uint64_t asked_ms;
} probe_t;

static void
on_probed(void *ctx, const at_transfer_result_t *result)
{
	probe_t *probe = ctx;
	at_node_t *node = probe->node;
	at_backend_t *b = at_backends_find(node->backends, probe->backend.text);

	if (b != NULL) {
		b->polling = 0;
		if (result->is_complete)
			at_crashes_apply_report(node, b, 0, probe->asked_ms);
		else
			at_crashes_note_unreachable(node, b);
	}
	free(probe);
}

void
at_crashes_note_connection_lost(at_node_t *node, at_backend_t *backend)
{
	char url[URL_SIZE];
	const at_transfer_spec_t spec = {.method = "GET",
	    .url = url,
	    .total_ms = PROBE_MS,
	    .connect_only = 1,
	    .new_connection = 1};
	at_transfer_events_t events = {.on_done = on_probed};
	probe_t *probe;

	if (backend->polling)
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
	/* What was lost in this millisecond is part of the question. */
	probe->asked_ms = at_clock_now_ms() + 1;
	events.ctx = probe;
	(void)snprintf(
	    url, sizeof(url), "http://%s/", backend->instance.address);
	if (at_httpc_start(node->httpc, &spec, &events) == NULL)
		free(probe);
	else
		backend->polling = 1;
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
    uint64_t incarnation, uint64_t asked_ms)
{
	uint64_t before = backend->view.incarnation;
	int restarted =
	    before != 0 && incarnation != 0 && incarnation != before;

	backend->view.incarnation = incarnation;
	if (restarted && !backend->is_down)
		at_suspects_note_crash(
		    node->suspects, &backend->instance.name, at_clock_now_ms());
	else if (!restarted)
		at_suspects_note_alive(
		    node->suspects, &backend->instance.name, asked_ms);
	backend->is_down = 0;
}

/* What marks the backend servers for one request. */
typedef struct bar {
	const at_suspects_t *suspects;
	const at_fingerprint_t *fingerprint;
	uint64_t now_ms;
} bar_t;

static void
bar_one(void *ctx, at_backend_t *backend)
{
	const bar_t *bar = ctx;

	backend->is_excluded = !at_suspects_may_run(bar->suspects,
	    bar->fingerprint, backend->instance.name.text, bar->now_ms);
}

void
at_crashes_exclude_backends(
    at_node_t *node, const at_fingerprint_t *fingerprint)
{
	bar_t bar = {node->suspects, fingerprint, at_clock_now_ms()};

	if (!at_suspects_is_unrestricted(node->suspects))
		at_backends_each(node->backends, bar_one, &bar);
}

static void
unbar_one(void *ctx, at_backend_t *backend)
{
	(void)ctx;
	backend->is_excluded = 0;
}

void
at_crashes_include_backends(at_node_t *node)
{
	if (!at_suspects_is_unrestricted(node->suspects))
		at_backends_each(node->backends, unbar_one, NULL);
}

static void
list_one(void *ctx, const at_suspect_t *suspect)
{
	json_t *list = ctx;
	uint64_t now_ms = at_clock_now_ms();
	char text[AT_FINGERPRINT_TEXT_SIZE];
	uint64_t left_ms = suspect->expires_at_ms > now_ms
			       ? suspect->expires_at_ms - now_ms
			       : 0;

	at_fingerprint_format(&suspect->fingerprint, text);
	json_array_append_new(list,
	    json_pack("{s:s,s:s,s:i,s:I}", "fingerprint", text, "suspicion",
		at_suspicion_names[suspect->suspicion], "crashes",
		(int)suspect->crashes, "expires_in_ms", (json_int_t)left_ms));
}

json_t *
at_crashes_list(at_node_t *node)
{
	json_t *list = json_array();

	at_suspects_each(node->suspects, list_one, list);
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
