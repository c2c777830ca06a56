#include "daemon/config/config_io.h"

#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "io/clock.h"
#include "io/instances.h"
#include "io/replica.h"

#define WATCH_PREFIX "config/" /* prefix of the watched objects */
#define TICK_INTERVAL_S 0.25   /* between updates of the role and the ages */
/* Time between two reads of the instance list by a reader. */
#define LIST_READ_INTERVAL_MS 1000u
/* Time since the last confirmation after which slow reads start. */
#define SLOW_READ_AGE_MS 10000u
/* Limits of the interval between slow reads; see start_slow_read(). */
#define SLOW_READ_MIN_MS 5000u
#define SLOW_READ_MAX_MS 60000u

struct at_config_io {
	struct ev_loop *loop;
	at_peers_t *peers;
	at_platform_t *platform;
	at_store_t store;
	at_name_t instance;
	at_name_t data_centre;
	at_counters_t *counters;
	at_config_io_config_t on_config;
	at_config_io_instances_t on_instances;
	void *ctx;
	at_replica_t *replicas[AT_PEER_DOCUMENT_COUNT];
	at_random_t random;
	ev_timer tick;
	int is_reader;
	int platform_rejected; /* the platform's version was not valid */
	/* The platform's last confirmation to this instance, 0 if none. */
	uint64_t own_check_ms;
	/* The platform's last confirmation to a peer, 0 if none. */
	uint64_t peer_check_ms;
	uint64_t next_list_read_ms; /* next read of the list by a reader */
	uint64_t next_slow_read_ms; /* next read if peers confirm nothing */
	uint32_t slow_read_interval_ms;
	int slow_read_open; /* its response has not arrived */
};

static void *
parse_config(void *impl, const char *text, size_t len, uint64_t *version)
{
	at_config_io_t *io = impl;
	at_status_t status;
	at_config_t *config;

	at_status_clear(&status);
	config = at_config_parse(text, len, &status);
	if (config == NULL) {
		at_counters_add(
		    io->counters, "config_refused_total", NULL, NULL, 1);
		at_log(AT_LOG_ERROR, "config", NULL,
		    "Rejected the new configuration: %s. The last valid one "
		    "stays in force.",
		    status.message);
		return NULL;
	}
	*version = config->generation;
	return config;
}

static void
use_config(void *impl, void *object)
{
	at_config_io_t *io = impl;
	at_config_t *config = object;

	at_counters_set(
	    io->counters, "config_generation", NULL, NULL, config->generation);
	at_log(AT_LOG_INFO, "config", NULL,
	    "Configuration generation %llu is in force.",
	    (unsigned long long)config->generation);
	io->on_config(io->ctx, config);
}

static void
discard_config(void *impl, void *object)
{
	(void)impl;
	at_config_delete(object);
}

static void *
parse_list(void *impl, const char *text, size_t len, uint64_t *version)
{
	at_instances_t *list = at_instances_parse(text, len);

	(void)impl;
	if (list != NULL)
		*version = list->revision;
	return list;
}

static void
use_list(void *impl, void *object)
{
	at_config_io_t *io = impl;
	at_instances_t *list = object;

	at_counters_set(
	    io->counters, "instances_revision", NULL, NULL, list->revision);
	at_peers_update(io->peers, list->entries, list->count);
	io->on_instances(io->ctx, list->entries, list->count);
	at_instances_delete(list);
}

static void
discard_list(void *impl, void *object)
{
	(void)impl;
	at_instances_delete(object);
}

static at_replica_t *
config_replica(const at_config_io_t *io)
{
	return io->replicas[AT_PEER_DOCUMENT_CONFIG];
}

static at_replica_t *
list_replica(const at_config_io_t *io)
{
	return io->replicas[AT_PEER_DOCUMENT_INSTANCES];
}

at_config_io_t *
at_config_io_new(
    struct ev_loop *loop, at_peers_t *peers, at_platform_t *platform)
{
	at_config_io_t *io = calloc(1, sizeof(*io));
	const at_document_sync_port_t config = {
	    parse_config, use_config, discard_config, io};
	const at_document_sync_port_t list = {
	    parse_list, use_list, discard_list, io};

	if (io == NULL)
		return NULL;
	io->loop = loop;
	io->peers = peers;
	io->platform = platform;
	io->random = at_random_system();
	io->replicas[AT_PEER_DOCUMENT_CONFIG] =
	    at_replica_new(peers, AT_PEER_DOCUMENT_CONFIG, &config);
	io->replicas[AT_PEER_DOCUMENT_INSTANCES] =
	    at_replica_new(peers, AT_PEER_DOCUMENT_INSTANCES, &list);
	if (config_replica(io) == NULL || list_replica(io) == NULL) {
		at_config_io_delete(io);
		return NULL;
	}
	return io;
}

void
at_config_io_set_self(
    at_config_io_t *io, const at_name_t *instance, const at_name_t *data_centre)
{
	io->instance = *instance;
	io->data_centre = *data_centre;
}

void
at_config_io_set_counters(at_config_io_t *io, at_counters_t *counters)
{
	size_t i;

	io->counters = counters;
	for (i = 0; i < AT_PEER_DOCUMENT_COUNT; i++)
		at_replica_set_counters(io->replicas[i], counters);
}

void
at_config_io_set_events(at_config_io_t *io, at_config_io_config_t on_config,
    at_config_io_instances_t on_instances, void *ctx)
{
	io->on_config = on_config;
	io->on_instances = on_instances;
	io->ctx = ctx;
}

/* Applies the configuration that the platform has. */
static void
apply_platform_config(at_config_io_t *io, const char *text, size_t len)
{
	at_document_sync_result_t result =
	    at_replica_apply(config_replica(io), text, len);

	io->platform_rejected = result == AT_DOCUMENT_SYNC_REJECTED;
}

/* Records that the platform confirmed that nothing newer exists. */
static void
note_platform_check(at_config_io_t *io)
{
	if (!io->platform_rejected)
		io->own_check_ms = at_clock_now_ms();
}

static void
on_watch(void *ctx, const at_store_event_t *event)
{
	at_config_io_t *io = ctx;

	if (event == NULL)
		note_platform_check(io);
	else if (event->version != 0 &&
		 strcmp(event->name, AT_CONFIG_OBJECT) == 0)
		apply_platform_config(io, event->value, event->value_len);
}

static void
on_list(void *ctx, const char *text, size_t len)
{
	at_config_io_t *io = ctx;

	if (text != NULL)
		(void)at_replica_apply(list_replica(io), text, len);
}

static void
on_slow_read(void *ctx, const at_store_result_t *result)
{
	at_config_io_t *io = ctx;

	io->slow_read_open = 0;
	if (result->code == AT_STORE_OK)
		apply_platform_config(io, result->value, result->value_len);
	if (result->code == AT_STORE_OK || result->code == AT_STORE_NOT_FOUND) {
		note_platform_check(io);
		io->slow_read_interval_ms = SLOW_READ_MIN_MS;
	}
}

static void
on_heartbeat(void *ctx, const at_peer_member_t *from)
{
	at_config_io_t *io = ctx;
	uint64_t version = at_replica_version(config_replica(io));
	size_t i;

	for (i = 0; i < AT_PEER_DOCUMENT_COUNT; i++)
		at_replica_note_peer_version(io->replicas[i], from);
	if (from->versions[AT_PEER_DOCUMENT_CONFIG] <= version &&
	    from->checked_at_ms > io->peer_check_ms)
		io->peer_check_ms = from->checked_at_ms;
}

static void
on_message(
    void *ctx, const at_peer_member_t *from, const void *data, size_t len)
{
	at_config_io_t *io = ctx;

	at_replicas_handle_message(io->replicas, from, data, len);
}

static int
has_reader_role(const at_config_io_t *io)
{
	uint32_t rank;

	for (rank = 0; rank < AT_READERS_PER_DATA_CENTRE; rank++) {
		const at_name_t *reader = at_peers_owner(
		    io->peers, &io->data_centre, AT_READER_ROLE, rank);

		if (reader != NULL && at_name_equal(reader, &io->instance))
			return 1;
	}
	return 0;
}

static void
update_role(at_config_io_t *io)
{
	int is_reader = has_reader_role(io);

	if (is_reader == io->is_reader)
		return;
	io->is_reader = is_reader;
	at_platform_pause_watch(io->platform, WATCH_PREFIX, !is_reader);
	at_counters_set(
	    io->counters, "config_reader", NULL, NULL, (uint64_t)is_reader);
	at_log(AT_LOG_INFO, "config", NULL,
	    is_reader
		? "This instance is a reader: it reads the platform."
		: "This instance is not a reader: it reads from its peers.");
}

static void
read_list(at_config_io_t *io, uint64_t now_ms)
{
	if (now_ms < io->next_list_read_ms)
		return;
	io->next_list_read_ms = now_ms + LIST_READ_INTERVAL_MS;
	at_platform_fetch_list(
	    io->platform, at_replica_version(list_replica(io)), on_list, io);
}

/*
 * Reads from the platform if no peer has confirmed that this instance is up to
 * date. The interval doubles with each read; the next read is after half to
 * one and a half intervals, at random.
 */
static void
start_slow_read(at_config_io_t *io, uint64_t now_ms)
{
	uint32_t interval_ms = io->slow_read_interval_ms;

	if (at_config_io_age_ms(io) < SLOW_READ_AGE_MS || io->slow_read_open ||
	    now_ms < io->next_slow_read_ms)
		return;
	io->next_slow_read_ms = now_ms + interval_ms / 2 +
				io->random.next(io->random.impl) % interval_ms;
	io->slow_read_interval_ms = interval_ms * 2 > SLOW_READ_MAX_MS
					? SLOW_READ_MAX_MS
					: interval_ms * 2;
	io->slow_read_open = 1;
	at_counters_add(io->counters, "config_slow_reads_total", NULL, NULL, 1);
	io->store.get(io->store.impl, AT_CONFIG_OBJECT, on_slow_read, io);
	at_platform_fetch_list(
	    io->platform, at_replica_version(list_replica(io)), on_list, io);
}

static uint64_t
age_ms(uint64_t time_ms, uint64_t now_ms)
{
	return time_ms == 0 ? UINT64_MAX : now_ms - time_ms;
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_config_io_t *io = timer->data;
	uint64_t now_ms = at_clock_now_ms();
	size_t i;

	(void)loop;
	(void)events;
	update_role(io);
	if (io->is_reader)
		read_list(io, now_ms);
	else
		start_slow_read(io, now_ms);
	for (i = 0; i < AT_PEER_DOCUMENT_COUNT; i++)
		at_replica_tick(io->replicas[i]);
	/*
	 * Only checks by calls of this instance are reported to peers: passed
	 * on again and again, a check would appear newer than it is.
	 */
	at_peers_set_platform_age(io->peers, age_ms(io->own_check_ms, now_ms));
	at_counters_set(
	    io->counters, "config_age_ms", NULL, NULL, at_config_io_age_ms(io));
}

void
at_config_io_init(at_config_io_t *io)
{
	io->slow_read_interval_ms = SLOW_READ_MIN_MS;
	io->next_slow_read_ms = at_clock_now_ms() + SLOW_READ_AGE_MS;
	io->store = at_platform_store(io->platform);
	at_peers_set_heartbeat_handler(io->peers, on_heartbeat, io);
	at_peers_set_handler(io->peers, AT_PEER_CONFIG, on_message, io);
	io->is_reader = 1;
	io->store.watch(io->store.impl, WATCH_PREFIX, on_watch, io);
	ev_timer_init(&io->tick, on_tick, 0., TICK_INTERVAL_S);
	io->tick.data = io;
	ev_timer_start(io->loop, &io->tick);
}

void
at_config_io_delete(at_config_io_t *io)
{
	size_t i;

	if (io == NULL)
		return;
	ev_timer_stop(io->loop, &io->tick);
	for (i = 0; i < AT_PEER_DOCUMENT_COUNT; i++)
		at_replica_delete(io->replicas[i]);
	free(io);
}

int
at_config_io_is_reader(const at_config_io_t *io)
{
	return io->is_reader;
}

uint64_t
at_config_io_age_ms(const at_config_io_t *io)
{
	uint64_t now_ms = at_clock_now_ms();
	uint64_t own_ms = age_ms(io->own_check_ms, now_ms);
	uint64_t peer_ms = age_ms(io->peer_check_ms, now_ms);

	return own_ms < peer_ms ? own_ms : peer_ms;
}

uint64_t
at_config_io_rejected_version(const at_config_io_t *io)
{
	return at_replica_rejected_version(config_replica(io));
}

uint64_t
at_config_io_list_revision(const at_config_io_t *io)
{
	return at_replica_version(list_replica(io));
}
