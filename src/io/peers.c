/*
 * Members, their liveness, task owners and messages. Connections are in
 * peers_conn.c.
 */
#include "io/peers.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>
#include <xxhash.h>

#include "almondthread/log.h"
#include "io/address.h"
#include "io/clock.h"
#include "io/peers_internal.h"

#define TICK_INTERVAL_S 0.2                 /* between checks of all members */
#define HEARTBEAT_INTERVAL_MS 2000u         /* within the data centre */
#define REMOTE_HEARTBEAT_INTERVAL_MS 10000u /* between data centres */
#define HELLO_TIMEOUT_MS 3000u /* from the start of the connection */
/*
 * Of two instances, the one with the smaller name dials. The other one dials,
 * too, when there has been no link for this long.
 */
#define FALLBACK_DIAL_DELAY_MS 3000u
/* Limits of the delay between two dials of one member or seed. */
#define BACKOFF_MIN_MS 200u
#define BACKOFF_MAX_MS 10000u
#define DEFAULT_UNIDENTIFIED_MAX 1024u /* connections without a hello */
#define LISTEN_BACKLOG 1024
#define HASH_SEED 0x616c6d6f6e64u /* the same in all instances */

at_peers_t *
at_peers_new(struct ev_loop *loop)
{
	at_peers_t *peers = calloc(1, sizeof(*peers));

	if (peers == NULL)
		return NULL;
	peers->loop = loop;
	peers->fd = -1;
	peers->platform_age_ms = AT_PEER_AGE_UNKNOWN;
	peers->unidentified_max = DEFAULT_UNIDENTIFIED_MAX;
	return peers;
}

static uint64_t
hash_name(const at_name_t *name)
{
	return XXH3_64bits_withSeed(name->text, strlen(name->text), HASH_SEED);
}

void
at_peers_set_self(at_peers_t *peers, const at_incarnation_t *self,
    const at_name_t *data_centre)
{
	peers->self = *self;
	peers->self_hash = hash_name(&self->instance);
	peers->data_centre = *data_centre;
}

void
at_peers_set_secret(at_peers_t *peers, const at_fleet_secret_t *secret)
{
	peers->secret = *secret;
}

void
at_peers_set_counters(at_peers_t *peers, at_counters_t *counters)
{
	peers->counters = counters;
}

void
at_peers_set_handler(at_peers_t *peers, at_peer_kind_t kind,
    at_peers_handler_t handler, void *ctx)
{
	peers->handlers[kind].call = handler;
	peers->handlers[kind].ctx = ctx;
}

void
at_peers_set_heartbeat_handler(
    at_peers_t *peers, at_peers_heartbeat_t on_heartbeat, void *ctx)
{
	peers->on_heartbeat = on_heartbeat;
	peers->heartbeat_ctx = ctx;
}

void
at_peers_set_max_unidentified(at_peers_t *peers, size_t connections)
{
	peers->unidentified_max = connections;
}

int
at_peers_add_seed(at_peers_t *peers, const char *address)
{
	seed_t *seed = &peers->seeds[peers->seed_count];

	if (peers->seed_count == AT_PEERS_SEEDS_MAX ||
	    strlen(address) >= sizeof(seed->text) ||
	    at_address_parse(address, &seed->addr) != 0)
		return -1;
	memcpy(seed->text, address, strlen(address) + 1);
	peers->seed_count++;
	return 0;
}

void
peers_add_count(
    at_peers_t *peers, const char *name, const char *label, const char *value)
{
	if (peers->counters != NULL)
		at_counters_add(peers->counters, name, label, value, 1);
}

member_t *
peers_find(const at_peers_t *peers, const char *name)
{
	member_t *member;

	HASH_FIND_STR(peers->members, name, member);
	return member;
}

member_t *
peers_add(at_peers_t *peers, const at_name_t *name)
{
	member_t *member = calloc(1, sizeof(*member));

	if (member == NULL)
		return NULL;
	member->info.self.instance = *name;
	member->name_hash = hash_name(name);
	member->unlinked_since_ms = at_clock_now_ms();
	HASH_ADD_KEYPTR(hh, peers->members, member->info.self.instance.text,
	    strlen(name->text), member);
	return member;
}

int
peers_is_local(const at_peers_t *peers, const member_t *member)
{
	return at_name_equal(&peers->data_centre, &member->info.data_centre);
}

/* Returns the delay before the next dial, and doubles the backoff. */
static uint32_t
next_backoff(uint32_t *backoff_ms)
{
	uint32_t wait_ms = *backoff_ms;

	if (wait_ms < BACKOFF_MIN_MS)
		wait_ms = BACKOFF_MIN_MS;
	*backoff_ms =
	    wait_ms * 2 > BACKOFF_MAX_MS ? BACKOFF_MAX_MS : wait_ms * 2;
	return wait_ms / 2 + randombytes_uniform(wait_ms / 2 + 1);
}

void
peers_unlink(at_peers_t *peers, member_t *member)
{
	if (member->conn != NULL)
		conn_delete(member->conn);
	member->dial_at_ms =
	    at_clock_now_ms() + next_backoff(&member->backoff_ms);
	(void)peers;
}

static void
dial_member(at_peers_t *peers, member_t *member, uint64_t now)
{
	struct sockaddr_in addr;
	int dials_first = strcmp(peers->self.instance.text,
			      member->info.self.instance.text) < 0;

	if (member->dialing != NULL || now < member->dial_at_ms)
		return;
	if (!dials_first &&
	    now - member->unlinked_since_ms < FALLBACK_DIAL_DELAY_MS)
		return;
	if (at_address_parse(member->info.address, &addr) != 0)
		return;
	member->dial_at_ms = now + next_backoff(&member->backoff_ms);
	member->dialing = conn_dial(peers, &addr, member, NULL);
}

static int
is_silent(const at_peers_t *peers, const member_t *member, uint64_t now)
{
	uint32_t timeout_ms = peers_is_local(peers, member)
				  ? AT_PEERS_SILENCE_TIMEOUT_MS
				  : AT_PEERS_REMOTE_SILENCE_TIMEOUT_MS;

	return now - member->info.received_at_ms > timeout_ms;
}

static void
send_due_heartbeat(at_peers_t *peers, member_t *member, uint64_t now)
{
	uint32_t interval_ms = peers_is_local(peers, member)
				   ? HEARTBEAT_INTERVAL_MS
				   : REMOTE_HEARTBEAT_INTERVAL_MS;

	if (now < member->heartbeat_at_ms)
		return;
	if (conn_send_heartbeat(member->conn) != 0)
		peers_add_count(peers, "peer_sends_failed_total", NULL, NULL);
	/* Instances that start together must not send at the same times. */
	member->heartbeat_at_ms =
	    now + interval_ms - randombytes_uniform(interval_ms / 4);
}

static void
tick_member(at_peers_t *peers, member_t *member, uint64_t now)
{
	if (member->conn != NULL && is_silent(peers, member, now)) {
		peers_add_count(peers, "peer_links_silent_total", NULL, NULL);
		at_log(AT_LOG_WARN, "peers", NULL,
		    "No frame came from %s within the silence timeout. "
		    "The link is closed and, if still listed, dialled again.",
		    member->info.self.instance.text);
		peers_unlink(peers, member);
	}
	if (member->conn != NULL) {
		send_due_heartbeat(peers, member, now);
		return;
	}
	if (member->info.is_listed) {
		dial_member(peers, member, now);
	} else if (member->dialing == NULL) {
		HASH_DEL(peers->members, member);
		free(member);
	}
}

static int
seed_is_linked(const at_peers_t *peers, const seed_t *seed)
{
	const member_t *member;

	for (member = peers->members; member != NULL; member = member->hh.next)
		if (member->conn != NULL &&
		    strcmp(member->info.address, seed->text) == 0)
			return 1;
	return 0;
}

static void
tick_seeds(at_peers_t *peers, uint64_t now)
{
	size_t i;

	for (i = 0; i < peers->seed_count; i++) {
		seed_t *seed = &peers->seeds[i];

		if (seed->is_self || seed->dialing != NULL ||
		    now < seed->dial_at_ms || seed_is_linked(peers, seed))
			continue;
		seed->dial_at_ms = now + next_backoff(&seed->backoff_ms);
		seed->dialing = conn_dial(peers, &seed->addr, NULL, seed);
	}
}

/* Closes connections that have not sent a hello in time. */
static void
close_unidentified(at_peers_t *peers, uint64_t now)
{
	conn_t *conn = peers->conns;

	while (conn != NULL) {
		conn_t *next = conn->next;

		if (conn->member == NULL &&
		    now - conn->since_ms > HELLO_TIMEOUT_MS)
			conn_delete(conn);
		conn = next;
	}
}

static void
set_gauges(at_peers_t *peers)
{
	const member_t *member;
	uint64_t alive = 0;

	if (peers->counters == NULL)
		return;
	for (member = peers->members; member != NULL; member = member->hh.next)
		alive += (uint64_t)member->info.is_alive;
	at_counters_set(peers->counters, "peer_members", NULL, NULL,
	    HASH_COUNT(peers->members));
	at_counters_set(
	    peers->counters, "peer_members_alive", NULL, NULL, alive);
	at_counters_set(peers->counters, "peer_bytes_total", "direction",
	    "sent", peers->traffic.sent_bytes);
	at_counters_set(peers->counters, "peer_bytes_total", "direction",
	    "received", peers->traffic.received_bytes);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_peers_t *peers = timer->data;
	uint64_t now = at_clock_now_ms();
	member_t *member;
	member_t *next;

	(void)loop;
	(void)events;
	HASH_ITER(hh, peers->members, member, next)
	{
		tick_member(peers, member, now);
	}
	tick_seeds(peers, now);
	if (peers->unidentified > 0)
		close_unidentified(peers, now);
	set_gauges(peers);
}

/*
 * Of many that say nothing, the oldest accepted one is hardly a peer. The
 * newest is first.
 */
static void
close_longest_unidentified(at_peers_t *peers)
{
	conn_t *conn;
	conn_t *found = NULL;

	for (conn = peers->conns; conn != NULL; conn = conn->next) {
		if (conn->member == NULL && !conn->is_dialer)
			found = conn;
	}
	if (found != NULL)
		conn_delete(found);
}

static void
on_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	at_peers_t *peers = io->data;
	int fd;

	(void)loop;
	(void)events;
	while ((fd = accept4(peers->fd, NULL, NULL,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		if (peers->unidentified >= peers->unidentified_max) {
			peers_add_count(
			    peers, "peer_links_refused_total", NULL, NULL);
			close_longest_unidentified(peers);
		}
		conn_accept(peers, fd);
	}
}

static int
listen_on(at_peers_t *peers, struct sockaddr_in *addr)
{
	socklen_t len = sizeof(*addr);
	int on = 1;

	peers->fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (peers->fd < 0)
		return -1;
	(void)setsockopt(peers->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(peers->fd, (struct sockaddr *)addr, sizeof(*addr)) != 0 ||
	    listen(peers->fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(peers->fd, (struct sockaddr *)addr, &len) != 0)
		return -1;
	return 0;
}

at_code_t
at_peers_init(at_peers_t *peers, const char *address, at_status_t *status)
{
	struct sockaddr_in addr;

	if (at_address_parse(address, &addr) != 0)
		return at_status_set(
		    status, AT_INVALID, "'%s': expected IP:PORT", address);
	if (listen_on(peers, &addr) != 0)
		return at_status_set(status, AT_FAILED,
		    "cannot listen for peers on %s: %s", address,
		    strerror(errno));
	peers->port = ntohs(addr.sin_port);
	(void)snprintf(peers->address, sizeof(peers->address), "%.*s:%u",
	    (int)(strrchr(address, ':') - address), address, peers->port);
	ev_io_init(&peers->acceptable, on_acceptable, peers->fd, EV_READ);
	peers->acceptable.data = peers;
	ev_io_start(peers->loop, &peers->acceptable);
	ev_timer_init(&peers->tick, on_tick, 0., TICK_INTERVAL_S);
	peers->tick.data = peers;
	ev_timer_start(peers->loop, &peers->tick);
	return AT_OK;
}

uint16_t
at_peers_port(const at_peers_t *peers)
{
	return peers->port;
}

void
at_peers_delete(at_peers_t *peers)
{
	member_t *member;
	member_t *next;

	if (peers == NULL)
		return;
	ev_timer_stop(peers->loop, &peers->tick);
	ev_io_stop(peers->loop, &peers->acceptable);
	while (peers->conns != NULL)
		conn_delete(peers->conns);
	HASH_ITER(hh, peers->members, member, next)
	{
		HASH_DEL(peers->members, member);
		free(member);
	}
	if (peers->fd >= 0)
		(void)close(peers->fd);
	sodium_memzero(&peers->secret, sizeof(peers->secret));
	free(peers);
}

static void
update_member(at_peers_t *peers, const at_instance_t *instance)
{
	member_t *member = peers_find(peers, instance->name.text);

	if (member == NULL)
		member = peers_add(peers, &instance->name);
	if (member == NULL)
		return;
	member->info.is_listed = 1;
	member->info.data_centre = instance->data_centre;
	memcpy(member->info.address, instance->peer_address,
	    sizeof(member->info.address));
	member->leaving_listed = instance->is_leaving;
	member->info.is_leaving =
	    member->leaving_listed || member->leaving_reported;
}

void
at_peers_update(at_peers_t *peers, const at_instance_t *instances, size_t count)
{
	member_t *member;
	size_t i;

	for (member = peers->members; member != NULL; member = member->hh.next)
		member->info.is_listed = 0;
	for (i = 0; i < count; i++) {
		if (instances[i].kind == AT_INSTANCE_ENTRY &&
		    instances[i].peer_address[0] != '\0' &&
		    !at_name_equal(&instances[i].name, &peers->self.instance))
			update_member(peers, &instances[i]);
	}
}

/* Sends a heartbeat to all peers at once, before the next one is due. */
static void
broadcast_heartbeat(at_peers_t *peers)
{
	member_t *member;

	for (member = peers->members; member != NULL; member = member->hh.next)
		if (member->conn != NULL)
			(void)conn_send_heartbeat(member->conn);
}

void
at_peers_set_version(
    at_peers_t *peers, at_peer_document_t document, uint64_t version)
{
	if (peers->versions[document] == version)
		return;
	peers->versions[document] = version;
	broadcast_heartbeat(peers);
}

void
at_peers_set_platform_age(at_peers_t *peers, uint64_t age_ms)
{
	peers->platform_age_ms = age_ms;
}

void
at_peers_send_leaving(at_peers_t *peers)
{
	peers->leaving = 1;
	broadcast_heartbeat(peers);
}

int
at_peers_send(at_peers_t *peers, const at_name_t *instance, at_peer_kind_t kind,
    const void *data, size_t len)
{
	member_t *member = peers_find(peers, instance->text);

	if (member == NULL || member->conn == NULL ||
	    len > AT_PEER_PAYLOAD_MAX_BYTES ||
	    conn_send_message(member->conn, kind, data, len) != 0) {
		peers_add_count(peers, "peer_sends_failed_total", NULL, NULL);
		return -1;
	}
	return 0;
}

void
at_peers_each(at_peers_t *peers,
    void (*visit)(void *ctx, const at_peer_member_t *member), void *ctx)
{
	const member_t *member;

	for (member = peers->members; member != NULL; member = member->hh.next)
		visit(ctx, &member->info);
}

const at_peer_member_t *
at_peers_member(const at_peers_t *peers, const at_name_t *instance)
{
	const member_t *member = peers_find(peers, instance->text);

	return member == NULL ? NULL : &member->info;
}

/* Returns the weight of a candidate for a task. */
static uint64_t
candidate_weight(uint64_t key_hash, uint64_t name_hash)
{
	const uint64_t both[2] = {key_hash, name_hash};

	return XXH3_64bits(both, sizeof(both));
}

/* Search for the candidate of the largest weight below weight_below. */
typedef struct owner_search {
	uint64_t weight_below;
	uint64_t weight;
	const at_name_t *name;
} owner_search_t;

static void
consider_candidate(
    owner_search_t *search, uint64_t weight, const at_name_t *name)
{
	if (weight >= search->weight_below)
		return;
	if (search->name != NULL && weight <= search->weight)
		return;
	search->weight = weight;
	search->name = name;
}

static void
consider_candidates(const at_peers_t *peers, const at_name_t *data_centre,
    uint64_t key_hash, owner_search_t *search)
{
	const member_t *member;

	search->name = NULL;
	if (at_name_equal(data_centre, &peers->data_centre) && !peers->leaving)
		consider_candidate(search,
		    candidate_weight(key_hash, peers->self_hash),
		    &peers->self.instance);
	for (member = peers->members; member != NULL;
	     member = member->hh.next) {
		const at_peer_member_t *info = &member->info;

		if (info->is_alive && !info->is_leaving &&
		    at_name_equal(&info->data_centre, data_centre))
			consider_candidate(search,
			    candidate_weight(key_hash, member->name_hash),
			    &info->self.instance);
	}
}

const at_name_t *
at_peers_owner(const at_peers_t *peers, const at_name_t *data_centre,
    const char *key, uint32_t rank)
{
	uint64_t key_hash = XXH3_64bits(key, strlen(key));
	owner_search_t search = {.weight_below = UINT64_MAX};

	do {
		consider_candidates(peers, data_centre, key_hash, &search);
		search.weight_below = search.weight;
	} while (search.name != NULL && rank-- > 0);
	return search.name;
}
