#include "daemon/limits/limits_io.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "io/clock.h"
#include "io/share_codec.h"

#define TICK_INTERVAL_S (AT_SHARE_TICK_MS / 1000.0)
/* Stated with refusals of workspaces that have no limit here. */
#define NO_LIMIT_RETRY_MS 1000u
/* Longest wait for a floor before this instance is ready with loans only. */
#define READY_TIMEOUT_MS 10000u
#define DATA_CENTRES_MAX 32u          /* further data centres are ignored */
#define LENDERS_MAX 32u               /* lenders of one coordinator */
#define ROLE_SIZE (AT_NAME_SIZE + 8u) /* "shares/" and a workspace */
#define SHARES_ROLE "shares" /* key of the owner of the table's lease */

/* The share of one workspace; never removed. */
typedef struct workspace_share {
	struct workspace_share *next;
	at_limits_t *limits;
	at_name_t workspace;
	at_share_t *share;
} workspace_share_t;

/* A holder of shares in the table that is not in the instance list. */
typedef struct unlisted_holder {
	struct unlisted_holder *next;
	uint64_t number; /* number of its incarnation */
	uint64_t since_ms;
	int is_seen; /* found in the present pass over the table */
} unlisted_holder_t;

struct at_limits {
	struct ev_loop *loop;
	at_peers_t *peers;
	at_counters_t *counters;
	void (*changed)(void *ctx);
	void *changed_ctx;
	at_incarnation_t self;
	at_name_t data_centre;
	at_share_root_t *root;
	workspace_share_t *shares;
	/* Data centres that have entry instances. */
	at_name_t data_centres[DATA_CENTRES_MAX];
	size_t data_centre_count;
	at_name_t *listed_names; /* entry instances in the instance list */
	size_t listed_count;
	unlisted_holder_t *unlisted_holders;
	/* Time out of the instance list after which a holder has ended. */
	uint32_t instance_gone_ms;
	int64_t floor_ppb; /* this instance's floor in the table */
	int64_t lease_ppb;
	uint64_t lease_expires_ms;
	uint64_t started_ms;
	int no_lender; /* no other instance of the data centre can lend */
	ev_timer tick;
	ev_timer changed_timer;
};

static workspace_share_t *
find_share(const at_limits_t *limits, const char *workspace)
{
	workspace_share_t *entry;

	for (entry = limits->shares; entry != NULL; entry = entry->next) {
		if (strcmp(entry->workspace.text, workspace) == 0)
			return entry;
	}
	return NULL;
}

static void
add_count(at_limits_t *limits, const char *name, const char *kind)
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
on_send(
    void *ctx, const at_incarnation_t *to, const at_share_message_t *message)
{
	workspace_share_t *entry = ctx;
	uint8_t bytes[AT_SHARE_BYTES_MAX];
	size_t len = at_share_pack(&entry->workspace, message, bytes);

	if (at_peers_send(entry->limits->peers, &to->instance, AT_PEER_SHARES,
		bytes, len) == 0)
		add_count(entry->limits, "share_messages_total",
		    kind_name(message->kind));
	else
		add_count(entry->limits, "share_messages_lost_total",
		    kind_name(message->kind));
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

/* Defers the callback: it must not run within a call of the share. */
static void
on_changed(void *ctx)
{
	workspace_share_t *entry = ctx;
	at_limits_t *limits = entry->limits;

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
	workspace_share_t *entry;

	memset(&message, 0, sizeof(message));
	if (at_share_unpack(data, len, &workspace, &message) != 0) {
		add_count(limits, "share_messages_refused_total", "malformed");
		return;
	}
	entry = find_share(limits, workspace.text);
	if (entry == NULL || at_share_receive(entry->share, at_clock_now_ms(),
				 &from->self, &message) == 0)
		return;
	add_count(limits, "share_messages_refused_total", "beyond_the_whole");
	at_log(AT_LOG_WARN, "limits", NULL,
	    "%s: Rejected a loan from %s, incarnation %" PRIx64
	    ": the share would exceed the whole limit.",
	    entry->workspace.text, from->self.instance.text, from->self.number);
}

/*
 * Returns the incarnation of the named instance. Its number is 0 if the
 * instance is unknown or name is NULL.
 */
static at_incarnation_t
find_incarnation(const at_limits_t *limits, const at_name_t *name)
{
	at_incarnation_t incarnation = {0};
	const at_peer_member_t *member;

	if (name == NULL)
		return incarnation;
	if (at_name_equal(name, &limits->self.instance))
		return limits->self;
	member = at_peers_member(limits->peers, name);
	if (member != NULL)
		incarnation = member->self;
	return incarnation;
}

static at_incarnation_t
find_role_owner(
    const at_limits_t *limits, const at_name_t *data_centre, const char *role)
{
	const at_name_t *name =
	    at_peers_owner(limits->peers, data_centre, role, 0);

	return find_incarnation(limits, name);
}

/* The instances that a coordinator requests loans from. */
typedef struct lenders {
	const at_limits_t *limits;
	at_incarnation_t incarnations[LENDERS_MAX];
	size_t count;
} lenders_t;

static void
add_lender(lenders_t *lenders, const at_incarnation_t *incarnation)
{
	if (incarnation->number != 0 &&
	    incarnation->number != lenders->limits->self.number &&
	    lenders->count < LENDERS_MAX)
		lenders->incarnations[lenders->count++] = *incarnation;
}

static void
add_local_lender(void *ctx, const at_peer_member_t *member)
{
	lenders_t *lenders = ctx;

	if (member->is_alive &&
	    at_name_equal(&member->data_centre, &lenders->limits->data_centre))
		add_lender(lenders, &member->self);
}

static void
set_roles(at_limits_t *limits, workspace_share_t *entry, uint64_t now_ms)
{
	lenders_t lenders = {.limits = limits};
	at_incarnation_t coordinator;
	char role[ROLE_SIZE];
	size_t i;

	(void)snprintf(role, sizeof(role), "shares/%s", entry->workspace.text);
	coordinator = find_role_owner(limits, &limits->data_centre, role);
	at_share_set_coordinator(entry->share, now_ms,
	    coordinator.number == 0 ? NULL : &coordinator);
	for (i = 0; i < limits->data_centre_count; i++) {
		at_incarnation_t remote =
		    find_role_owner(limits, &limits->data_centres[i], role);

		if (!at_name_equal(
			&limits->data_centres[i], &limits->data_centre))
			add_lender(&lenders, &remote);
	}
	/*
	 * A coordinator that has no floor yet does not wait for offers: it
	 * requests loans from the other instances of its data centre, too.
	 */
	if (limits->floor_ppb == 0)
		at_peers_each(limits->peers, add_local_lender, &lenders);
	at_share_set_remote_coordinators(
	    entry->share, lenders.incarnations, lenders.count);
}

static int
is_listed(const at_limits_t *limits, const at_name_t *name)
{
	size_t i;

	for (i = 0; i < limits->listed_count; i++) {
		if (at_name_equal(&limits->listed_names[i], name))
			return 1;
	}
	return 0;
}

static unlisted_holder_t *
get_unlisted_holder(at_limits_t *limits, uint64_t number, uint64_t now_ms)
{
	unlisted_holder_t *holder;

	for (holder = limits->unlisted_holders; holder != NULL;
	     holder = holder->next) {
		if (holder->number == number)
			return holder;
	}
	holder = calloc(1, sizeof(*holder));
	if (holder == NULL)
		return NULL;
	holder->number = number;
	holder->since_ms = now_ms;
	holder->next = limits->unlisted_holders;
	limits->unlisted_holders = holder;
	return holder;
}

/* Removes the holders that the last pass over the table did not find. */
static void
remove_unseen_holders(at_limits_t *limits)
{
	unlisted_holder_t **link = &limits->unlisted_holders;
	unlisted_holder_t *holder;

	while ((holder = *link) != NULL) {
		if (holder->is_seen) {
			holder->is_seen = 0;
			link = &holder->next;
			continue;
		}
		*link = holder->next;
		free(holder);
	}
}

/*
 * Returns whether a holder has ended: another incarnation has its name, or it
 * has not been in the instance list for instance_gone_ms.
 */
static int
has_ended(
    at_limits_t *limits, const at_incarnation_t *incarnation, uint64_t now_ms)
{
	at_incarnation_t current =
	    find_incarnation(limits, &incarnation->instance);
	unlisted_holder_t *holder;

	if (current.number != 0 && current.number != incarnation->number)
		return 1;
	if (limits->listed_count == 0 ||
	    is_listed(limits, &incarnation->instance))
		return 0;
	holder = get_unlisted_holder(limits, incarnation->number, now_ms);
	if (holder == NULL)
		return 0;
	holder->is_seen = 1;
	return now_ms - holder->since_ms >= limits->instance_gone_ms;
}

static void
note_ended_holders(at_limits_t *limits, uint64_t now_ms)
{
	const at_share_table_t *table = at_share_root_table(limits->root);
	size_t i;

	for (i = 0; i < table->count; i++) {
		const at_incarnation_t *incarnation =
		    &table->entries[i].incarnation;

		if (incarnation->number != limits->self.number &&
		    has_ended(limits, incarnation, now_ms))
			at_share_root_note_ended(
			    limits->root, now_ms, incarnation->number);
	}
	remove_unseen_holders(limits);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_limits_t *limits = timer->data;
	uint64_t now_ms = at_clock_now_ms();
	at_incarnation_t holder =
	    find_role_owner(limits, &limits->data_centre, SHARES_ROLE);
	int64_t lent_ppb = 0;
	workspace_share_t *entry;

	(void)loop;
	(void)events;
	for (entry = limits->shares; entry != NULL; entry = entry->next) {
		set_roles(limits, entry, now_ms);
		at_share_tick(entry->share, now_ms);
		if (at_share_lent_ppb(entry->share) > lent_ppb)
			lent_ppb = at_share_lent_ppb(entry->share);
	}
	limits->no_lender =
	    holder.number == 0 || holder.number == limits->self.number;
	at_share_root_set_lease_holder(limits->root, limits->no_lender);
	at_share_root_set_no_lender(limits->root, limits->no_lender);
	note_ended_holders(limits, now_ms);
	at_share_root_tick(limits->root, now_ms, lent_ppb);
}

static void
on_root_changed(
    void *ctx, int64_t floor_ppb, int64_t lease_ppb, uint64_t expires_ms)
{
	at_limits_t *limits = ctx;
	uint64_t now_ms = at_clock_now_ms();
	workspace_share_t *entry;

	limits->floor_ppb = floor_ppb;
	limits->lease_ppb = lease_ppb;
	limits->lease_expires_ms = expires_ms;
	for (entry = limits->shares; entry != NULL; entry = entry->next) {
		at_share_set_root(
		    entry->share, now_ms, floor_ppb, lease_ppb, expires_ms);
		on_changed(entry);
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
		return at_status_set(status, AT_FAILED, "out of memory");
	at_share_root_set_changed(limits->root, on_root_changed, limits);
	ev_timer_set(&limits->tick, 0., TICK_INTERVAL_S);
	ev_timer_start(limits->loop, &limits->tick);
	return AT_OK;
}

void
at_limits_delete(at_limits_t *limits)
{
	workspace_share_t *entry;

	if (limits == NULL)
		return;
	ev_timer_stop(limits->loop, &limits->tick);
	ev_timer_stop(limits->loop, &limits->changed_timer);
	while ((entry = limits->shares) != NULL) {
		limits->shares = entry->next;
		at_share_delete(entry->share);
		free(entry);
	}
	at_share_root_delete(limits->root);
	remove_unseen_holders(limits);
	free(limits->listed_names);
	free(limits);
}

static workspace_share_t *
add_share(at_limits_t *limits, const at_name_t *workspace, uint64_t now_ms)
{
	workspace_share_t *entry = calloc(1, sizeof(*entry));
	const at_share_port_t port = {on_send, on_changed, entry};

	if (entry == NULL)
		return NULL;
	entry->limits = limits;
	entry->workspace = *workspace;
	entry->share = at_share_new(now_ms, &limits->self, &port);
	if (entry->share == NULL) {
		free(entry);
		return NULL;
	}
	at_share_set_root(entry->share, now_ms, limits->floor_ppb,
	    limits->lease_ppb, limits->lease_expires_ms);
	entry->next = limits->shares;
	limits->shares = entry;
	return entry;
}

void
at_limits_set_config(at_limits_t *limits, const at_config_t *config)
{
	uint64_t now_ms = at_clock_now_ms();
	workspace_share_t *entry;
	size_t i;

	limits->instance_gone_ms = config->defaults.instance_gone_ms;
	for (entry = limits->shares; entry != NULL; entry = entry->next) {
		if (at_config_find_workspace(config, entry->workspace.text) ==
		    NULL)
			at_share_set_limit(entry->share, now_ms, 0, 0);
	}
	for (i = 0; i < config->workspace_count; i++) {
		const at_workspace_t *workspace = &config->workspaces[i];

		entry = find_share(limits, workspace->name.text);
		if (entry == NULL)
			entry = add_share(limits, &workspace->name, now_ms);
		if (entry != NULL)
			at_share_set_limit(entry->share, now_ms,
			    workspace->rate_tokens_s, workspace->burst_tokens);
	}
}

static void
add_data_centre(at_limits_t *limits, const at_name_t *name)
{
	size_t i;

	for (i = 0; i < limits->data_centre_count; i++) {
		if (at_name_equal(&limits->data_centres[i], name))
			return;
	}
	if (limits->data_centre_count < DATA_CENTRES_MAX)
		limits->data_centres[limits->data_centre_count++] = *name;
}

void
at_limits_set_instances(
    at_limits_t *limits, const at_instance_t *instances, size_t count)
{
	at_name_t *listed_names = calloc(count + 1, sizeof(*listed_names));
	size_t entries = 0;
	size_t i;

	if (listed_names == NULL)
		return;
	free(limits->listed_names);
	limits->listed_names = listed_names;
	limits->data_centre_count = 0;
	for (i = 0; i < count; i++) {
		if (instances[i].kind != AT_INSTANCE_ENTRY)
			continue;
		listed_names[entries++] = instances[i].name;
		add_data_centre(limits, &instances[i].data_centre);
	}
	limits->listed_count = entries;
	at_share_root_set_instance_counts(
	    limits->root, entries, limits->data_centre_count);
}

void
at_limits_leave(at_limits_t *limits)
{
	uint64_t now_ms = at_clock_now_ms();
	workspace_share_t *entry;

	at_share_root_leave(limits->root, now_ms);
	for (entry = limits->shares; entry != NULL; entry = entry->next)
		at_share_leave(entry->share, now_ms);
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
	       (!limits->no_lender &&
		   at_clock_now_ms() >= limits->started_ms + READY_TIMEOUT_MS);
}

at_admit_t
at_limits_admit(at_limits_t *limits, const char *workspace,
    uint64_t cost_tokens, at_debit_t **debit, uint32_t *retry_after_ms)
{
	workspace_share_t *entry = find_share(limits, workspace);
	at_admit_t result;

	*debit = NULL;
	*retry_after_ms = NO_LIMIT_RETRY_MS;
	if (entry == NULL)
		return AT_ADMIT_INSUFFICIENT;
	result =
	    at_share_admit(entry->share, at_clock_now_ms(), cost_tokens, debit);
	if (result == AT_ADMIT_INSUFFICIENT)
		*retry_after_ms =
		    at_share_retry_after_ms(entry->share, cost_tokens);
	return result;
}

void
at_limits_settle(at_limits_t *limits, const char *workspace, at_debit_t *debit,
    uint64_t used_tokens)
{
	workspace_share_t *entry = find_share(limits, workspace);

	if (entry != NULL)
		at_share_settle(
		    entry->share, at_clock_now_ms(), debit, used_tokens);
}

static json_t *
share_status(const workspace_share_t *entry)
{
	at_share_view_t view;

	at_share_view(entry->share, &view);
	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "workspace",
	    entry->workspace.text, "floor_ppb", (json_int_t)view.floor_ppb,
	    "lease_ppb", (json_int_t)view.lease_ppb, "borrowed_ppb",
	    (json_int_t)view.borrowed_ppb, "lent_ppb",
	    (json_int_t)view.lent_ppb, "own_ppb", (json_int_t)view.own_ppb,
	    "use_ppb", (json_int_t)view.target_ppb, "level_tokens",
	    (json_int_t)(view.level_utok / AT_UTOK_PER_TOKEN));
}

json_t *
at_limits_status(const at_limits_t *limits)
{
	json_t *list = json_array();
	const workspace_share_t *entry;

	for (entry = limits->shares; entry != NULL; entry = entry->next)
		json_array_append_new(list, share_status(entry));
	return list;
}
