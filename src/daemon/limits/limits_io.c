#include "daemon/limits/limits_io.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "io/clock.h"
#include "io/share_codec.h"

#define TICK_S (AT_SHARE_TICK_MS / 1000.0)
#define NO_LIMIT_RETRY_MS 1000u
#define READY_WAIT_MS 10000u /* for a floor, where others can lend */
#define CENTRES_MAX 32u
#define LENDERS_MAX 32u
#define ROLE_SIZE (AT_NAME_SIZE + 8u)
#define LEASE_ROLE "shares"

/* The share of one workspace; kept until the process ends. */
typedef struct holding {
	struct holding *next;
	at_limits_t *limits;
	at_name_t workspace;
	at_share_t *share;
} holding_t;

/* An entry of the table whose holder is not in the instance list. */
typedef struct absence {
	struct absence *next;
	uint64_t number;
	uint64_t since_ms;
	int seen; /* in this look */
} absence_t;

struct at_limits {
	struct ev_loop *loop;
	at_peers_t *peers;
	at_counters_t *counters;
	void (*changed)(void *ctx);
	void *changed_ctx;
	at_incarnation_t self;
	at_name_t data_centre;
	at_share_root_t *root;
	holding_t *holdings;
	at_name_t centres[CENTRES_MAX]; /* of listed entry instances */
	size_t centre_count;
	at_name_t *listed; /* entry instances */
	size_t listed_count;
	absence_t *absences;
	uint32_t gone_ms;  /* unlisted so long: it has ended */
	int64_t floor_ppb; /* as the table has it */
	int64_t lease_ppb;
	uint64_t lease_expires_ms;
	uint64_t started_ms;
	int alone; /* nobody in this data centre lends to it */
	ev_timer tick;
	ev_timer changed_timer;
};

static holding_t *
find(const at_limits_t *limits, const char *workspace)
{
	holding_t *h;

	for (h = limits->holdings; h != NULL; h = h->next) {
		if (strcmp(h->workspace.text, workspace) == 0)
			return h;
	}
	return NULL;
}

static void
count(at_limits_t *limits, const char *name, const char *kind)
{
	if (limits->counters != NULL)
		at_counters_add(limits->counters, name, "kind", kind, 1);
}

static const char *
kind_name(at_share_kind_t kind)
{
	return kind == AT_SHARE_REQUEST ? "ask" : "grant";
}

static void
on_send(void *ctx, const at_incarnation_t *to, const at_share_message_t *m)
{
	holding_t *h = ctx;
	uint8_t bytes[AT_SHARE_BYTES_MAX];
	size_t len = at_share_pack(&h->workspace, m, bytes);

	if (at_peers_send(h->limits->peers, &to->instance, AT_PEER_SHARES,
		bytes, len) == 0)
		count(h->limits, "share_messages_total", kind_name(m->kind));
	else
		count(
		    h->limits, "share_messages_lost_total", kind_name(m->kind));
}

static void
on_changed_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_limits_t *limits = timer->data;

	(void)loop;
	(void)events;
	if (limits->changed != NULL)
		limits->changed(limits->changed_ctx);
}

/* Tells of a change from the loop, not from within the share. */
static void
on_changed(void *ctx)
{
	holding_t *h = ctx;
	at_limits_t *limits = h->limits;

	if (ev_is_active(&limits->changed_timer))
		return;
	ev_timer_set(&limits->changed_timer, 0., 0.);
	ev_timer_start(limits->loop, &limits->changed_timer);
}

static void
on_message(
    void *ctx, const at_peer_member_t *from, const void *data, size_t len)
{
	at_limits_t *limits = ctx;
	at_share_message_t message;
	at_name_t workspace;
	holding_t *h;

	memset(&message, 0, sizeof(message));
	if (at_share_unpack(data, len, &workspace, &message) != 0) {
		count(limits, "share_messages_refused_total", "malformed");
		return;
	}
	h = find(limits, workspace.text);
	if (h == NULL || at_share_receive(h->share, at_clock_now_ms(),
			     &from->self, &message) == 0)
		return;
	count(limits, "share_messages_refused_total", "beyond_the_whole");
	at_log(AT_LOG_WARN, "limits", NULL,
	    "%s: A grant of %s, incarnation %" PRIx64
	    ", is refused: it makes more than the whole.",
	    h->workspace.text, from->self.instance.text, from->self.number);
}

/* The incarnation of a member of the name, or number 0. */
static at_incarnation_t
incarnation_of(const at_limits_t *limits, const at_name_t *name)
{
	at_incarnation_t who = {0};
	const at_peer_member_t *member;

	if (name == NULL)
		return who;
	if (at_name_equal(name, &limits->self.instance))
		return limits->self;
	member = at_peers_member(limits->peers, name);
	if (member != NULL)
		who = member->self;
	return who;
}

static at_incarnation_t
owner(const at_limits_t *limits, const at_name_t *data_centre, const char *role)
{
	const at_name_t *name =
	    at_peers_owner(limits->peers, data_centre, role, 0);

	return incarnation_of(limits, name);
}

/* Whom a home asks when it is short. */
typedef struct lenders {
	const at_limits_t *limits;
	at_incarnation_t who[LENDERS_MAX];
	size_t count;
} lenders_t;

static void
add_lender(lenders_t *lenders, const at_incarnation_t *who)
{
	if (who->number != 0 && who->number != lenders->limits->self.number &&
	    lenders->count < LENDERS_MAX)
		lenders->who[lenders->count++] = *who;
}

static void
add_neighbour(void *ctx, const at_peer_member_t *member)
{
	lenders_t *lenders = ctx;

	if (member->is_alive &&
	    at_name_equal(&member->data_centre, &lenders->limits->data_centre))
		add_lender(lenders, &member->self);
}

static void
set_roles(at_limits_t *limits, holding_t *h, uint64_t now_ms)
{
	lenders_t lenders = {.limits = limits};
	at_incarnation_t home;
	char role[ROLE_SIZE];
	size_t i;

	(void)snprintf(role, sizeof(role), "shares/%s", h->workspace.text);
	home = owner(limits, &limits->data_centre, role);
	at_share_set_coordinator(
	    h->share, now_ms, home.number == 0 ? NULL : &home);
	for (i = 0; i < limits->centre_count; i++) {
		at_incarnation_t remote =
		    owner(limits, &limits->centres[i], role);

		if (!at_name_equal(&limits->centres[i], &limits->data_centre))
			add_lender(&lenders, &remote);
	}
	/* A home that has no floor yet does not wait for offers. */
	if (limits->floor_ppb == 0)
		at_peers_each(limits->peers, add_neighbour, &lenders);
	at_share_set_remote_coordinators(h->share, lenders.who, lenders.count);
}

static int
is_listed(const at_limits_t *limits, const at_name_t *name)
{
	size_t i;

	for (i = 0; i < limits->listed_count; i++) {
		if (at_name_equal(&limits->listed[i], name))
			return 1;
	}
	return 0;
}

static absence_t *
absence_of(at_limits_t *limits, uint64_t number, uint64_t now_ms)
{
	absence_t *a;

	for (a = limits->absences; a != NULL; a = a->next) {
		if (a->number == number)
			return a;
	}
	a = calloc(1, sizeof(*a));
	if (a == NULL)
		return NULL;
	a->number = number;
	a->since_ms = now_ms;
	a->next = limits->absences;
	limits->absences = a;
	return a;
}

/* Drops what the last look did not see. */
static void
forget_absences(at_limits_t *limits)
{
	absence_t **link = &limits->absences;
	absence_t *a;

	while ((a = *link) != NULL) {
		if (a->seen) {
			a->seen = 0;
			link = &a->next;
			continue;
		}
		*link = a->next;
		free(a);
	}
}

/*
 * A member under the name of an entry's holder proves that one ended; so
 * does a long absence from the instance list.
 */
static int
has_ended(at_limits_t *limits, const at_incarnation_t *who, uint64_t now_ms)
{
	at_incarnation_t now = incarnation_of(limits, &who->instance);
	absence_t *a;

	if (now.number != 0 && now.number != who->number)
		return 1;
	if (limits->listed_count == 0 || is_listed(limits, &who->instance))
		return 0;
	a = absence_of(limits, who->number, now_ms);
	if (a == NULL)
		return 0;
	a->seen = 1;
	return now_ms - a->since_ms >= limits->gone_ms;
}

static void
find_ended(at_limits_t *limits, uint64_t now_ms)
{
	const at_share_table_t *table = at_share_root_table(limits->root);
	size_t i;

	for (i = 0; i < table->count; i++) {
		const at_incarnation_t *who = &table->entries[i].incarnation;

		if (who->number != limits->self.number &&
		    has_ended(limits, who, now_ms))
			at_share_root_note_ended(
			    limits->root, now_ms, who->number);
	}
	forget_absences(limits);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_limits_t *limits = timer->data;
	uint64_t now_ms = at_clock_now_ms();
	at_incarnation_t holder =
	    owner(limits, &limits->data_centre, LEASE_ROLE);
	int64_t lent_ppb = 0;
	holding_t *h;

	(void)loop;
	(void)events;
	for (h = limits->holdings; h != NULL; h = h->next) {
		set_roles(limits, h, now_ms);
		at_share_tick(h->share, now_ms);
		if (at_share_lent_ppb(h->share) > lent_ppb)
			lent_ppb = at_share_lent_ppb(h->share);
	}
	limits->alone =
	    holder.number == 0 || holder.number == limits->self.number;
	at_share_root_set_lease_holder(limits->root, limits->alone);
	at_share_root_set_no_lender(limits->root, limits->alone);
	find_ended(limits, now_ms);
	at_share_root_tick(limits->root, now_ms, lent_ppb);
}

static void
on_apply(void *ctx, int64_t floor_ppb, int64_t lease_ppb, uint64_t expires_ms)
{
	at_limits_t *limits = ctx;
	uint64_t now_ms = at_clock_now_ms();
	holding_t *h;

	limits->floor_ppb = floor_ppb;
	limits->lease_ppb = lease_ppb;
	limits->lease_expires_ms = expires_ms;
	for (h = limits->holdings; h != NULL; h = h->next) {
		at_share_set_root(
		    h->share, now_ms, floor_ppb, lease_ppb, expires_ms);
		on_changed(h);
	}
}

at_limits_t *
at_limits_new(struct ev_loop *loop, at_peers_t *peers)
{
	at_limits_t *limits = calloc(1, sizeof(*limits));

	if (limits == NULL)
		return NULL;
	limits->loop = loop;
	limits->peers = peers;
	at_peers_set_handler(peers, AT_PEER_SHARES, on_message, limits);
	ev_init(&limits->tick, on_tick);
	ev_init(&limits->changed_timer, on_changed_timer);
	limits->tick.data = limits;
	limits->changed_timer.data = limits;
	return limits;
}

void
at_limits_set_counters(at_limits_t *limits, at_counters_t *counters)
{
	limits->counters = counters;
}

void
at_limits_set_changed(
    at_limits_t *limits, void (*changed)(void *ctx), void *ctx)
{
	limits->changed = changed;
	limits->changed_ctx = ctx;
}

at_code_t
at_limits_init(at_limits_t *limits, const at_incarnation_t *self,
    const at_name_t *data_centre, const at_store_t *store, at_status_t *status)
{
	limits->self = *self;
	limits->started_ms = at_clock_now_ms();
	limits->data_centre = *data_centre;
	limits->root = at_share_root_new(at_clock_now_ms(), self, store);
	if (limits->root == NULL)
		return at_status_set(status, AT_FAILED, "no memory");
	at_share_root_set_changed(limits->root, on_apply, limits);
	ev_timer_set(&limits->tick, 0., TICK_S);
	ev_timer_start(limits->loop, &limits->tick);
	return AT_OK;
}

void
at_limits_delete(at_limits_t *limits)
{
	holding_t *h;

	if (limits == NULL)
		return;
	ev_timer_stop(limits->loop, &limits->tick);
	ev_timer_stop(limits->loop, &limits->changed_timer);
	while ((h = limits->holdings) != NULL) {
		limits->holdings = h->next;
		at_share_delete(h->share);
		free(h);
	}
	at_share_root_delete(limits->root);
	forget_absences(limits);
	free(limits->listed);
	free(limits);
}

static holding_t *
add_holding(at_limits_t *limits, const at_name_t *workspace, uint64_t now_ms)
{
	holding_t *h = calloc(1, sizeof(*h));
	const at_share_port_t port = {on_send, on_changed, h};

	if (h == NULL)
		return NULL;
	h->limits = limits;
	h->workspace = *workspace;
	h->share = at_share_new(now_ms, &limits->self, &port);
	if (h->share == NULL) {
		free(h);
		return NULL;
	}
	at_share_set_root(h->share, now_ms, limits->floor_ppb,
	    limits->lease_ppb, limits->lease_expires_ms);
	h->next = limits->holdings;
	limits->holdings = h;
	return h;
}

void
at_limits_set_config(at_limits_t *limits, const at_config_t *config)
{
	uint64_t now_ms = at_clock_now_ms();
	holding_t *h;
	size_t i;

	limits->gone_ms = config->defaults.instance_gone_ms;
	for (h = limits->holdings; h != NULL; h = h->next) {
		if (at_config_find_workspace(config, h->workspace.text) == NULL)
			at_share_set_limit(h->share, now_ms, 0, 0);
	}
	for (i = 0; i < config->workspace_count; i++) {
		const at_workspace_t *w = &config->workspaces[i];

		h = find(limits, w->name.text);
		if (h == NULL)
			h = add_holding(limits, &w->name, now_ms);
		if (h != NULL)
			at_share_set_limit(h->share, now_ms, w->rate_tokens_s,
			    w->burst_tokens);
	}
}

static void
add_centre(at_limits_t *limits, const at_name_t *name)
{
	size_t i;

	for (i = 0; i < limits->centre_count; i++) {
		if (at_name_equal(&limits->centres[i], name))
			return;
	}
	if (limits->centre_count < CENTRES_MAX)
		limits->centres[limits->centre_count++] = *name;
}

void
at_limits_set_instances(
    at_limits_t *limits, const at_instance_t *instances, size_t total)
{
	at_name_t *listed = calloc(total + 1, sizeof(*listed));
	size_t entries = 0;
	size_t i;

	if (listed == NULL)
		return;
	free(limits->listed);
	limits->listed = listed;
	limits->centre_count = 0;
	for (i = 0; i < total; i++) {
		if (instances[i].kind != AT_INSTANCE_ENTRY)
			continue;
		listed[entries++] = instances[i].name;
		add_centre(limits, &instances[i].data_centre);
	}
	limits->listed_count = entries;
	at_share_root_set_instance_counts(
	    limits->root, entries, limits->centre_count);
}

void
at_limits_leave(at_limits_t *limits)
{
	uint64_t now_ms = at_clock_now_ms();
	holding_t *h;

	at_share_root_leave(limits->root);
	for (h = limits->holdings; h != NULL; h = h->next)
		at_share_leave(h->share, now_ms);
}

int
at_limits_has_left(const at_limits_t *limits)
{
	return at_share_root_has_left(limits->root);
}

int
at_limits_is_ready(const at_limits_t *limits)
{
	return limits->floor_ppb > 0 ||
	       (!limits->alone &&
		   at_clock_now_ms() >= limits->started_ms + READY_WAIT_MS);
}

at_admit_t
at_limits_admit(at_limits_t *limits, const char *workspace,
    uint64_t cost_tokens, at_debit_t **debit, uint32_t *retry_after_ms)
{
	holding_t *h = find(limits, workspace);
	at_admit_t verdict;

	*debit = NULL;
	*retry_after_ms = NO_LIMIT_RETRY_MS;
	if (h == NULL)
		return AT_ADMIT_INSUFFICIENT;
	verdict =
	    at_share_admit(h->share, at_clock_now_ms(), cost_tokens, debit);
	if (verdict == AT_ADMIT_INSUFFICIENT)
		*retry_after_ms =
		    at_share_retry_after_ms(h->share, cost_tokens);
	return verdict;
}

void
at_limits_settle(at_limits_t *limits, const char *workspace, at_debit_t *debit,
    uint64_t used_tokens)
{
	holding_t *h = find(limits, workspace);

	if (h != NULL)
		at_share_settle(
		    h->share, at_clock_now_ms(), debit, used_tokens);
}

static json_t *
holding_status(const holding_t *h)
{
	at_share_view_t v;

	at_share_view(h->share, &v);
	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "workspace",
	    h->workspace.text, "floor_ppb", (json_int_t)v.floor_ppb,
	    "lease_ppb", (json_int_t)v.lease_ppb, "borrowed_ppb",
	    (json_int_t)v.borrowed_ppb, "lent_ppb", (json_int_t)v.lent_ppb,
	    "own_ppb", (json_int_t)v.own_ppb, "use_ppb",
	    (json_int_t)v.target_ppb, "level_tokens",
	    (json_int_t)(v.level_utok / AT_UTOK_PER_TOKEN));
}

json_t *
at_limits_status(const at_limits_t *limits)
{
	json_t *list = json_array();
	const holding_t *h;

	for (h = limits->holdings; h != NULL; h = h->next)
		json_array_append_new(list, holding_status(h));
	return list;
}
