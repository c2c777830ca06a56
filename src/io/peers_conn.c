/*
 * Connections of the peers module: identification of the peer, and handling
 * of its frames.
 */
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "io/clock.h"
#include "io/peers_internal.h"

#define PLATFORM_AGE_UNIT_MS 100u /* unit of PeerHeartbeat.platform_age */
#define STACK_FRAME_BYTES 1024u   /* larger frames use the heap */

/* Removes all references to a connection that is being deleted. */
static void
conn_detach(conn_t *conn)
{
	if (conn->member == NULL)
		conn->peers->unidentified--;
	if (conn->dialled_member != NULL &&
	    conn->dialled_member->dialing == conn)
		conn->dialled_member->dialing = NULL;
	if (conn->seed != NULL && conn->seed->dialing == conn)
		conn->seed->dialing = NULL;
	if (conn->member != NULL && conn->member->conn == conn) {
		conn->member->conn = NULL;
		conn->member->info.is_alive = 0;
		conn->member->unlinked_since_ms = at_clock_now_ms();
	}
}

void
conn_delete(conn_t *conn)
{
	at_peers_t *peers = conn->peers;

	conn_detach(conn);
	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		peers->conns = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	at_peer_link_delete(conn->link);
	free(conn);
}

static int
send_frame(conn_t *conn, const Almondthread__PeerFrame *frame)
{
	uint8_t buffer[STACK_FRAME_BYTES];
	size_t len = almondthread__peer_frame__get_packed_size(frame);
	uint8_t *out = len <= sizeof(buffer) ? buffer : malloc(len);
	int result;

	if (out == NULL)
		return -1;
	(void)almondthread__peer_frame__pack(frame, out);
	result = at_peer_link_send(conn->link, out, len);
	if (out != buffer)
		free(out);
	return result;
}

static void
send_hello(conn_t *conn)
{
	at_peers_t *peers = conn->peers;
	Almondthread__PeerHello hello = ALMONDTHREAD__PEER_HELLO__INIT;
	Almondthread__PeerFrame frame = ALMONDTHREAD__PEER_FRAME__INIT;

	if (conn->hello_sent)
		return;
	conn->hello_sent = 1;
	hello.instance = peers->self.instance.text;
	hello.incarnation = peers->self.number;
	hello.data_centre = peers->data_centre.text;
	hello.address = peers->address;
	frame.body_case = ALMONDTHREAD__PEER_FRAME__BODY_HELLO;
	frame.hello = &hello;
	(void)send_frame(conn, &frame);
}

int
conn_send_heartbeat(conn_t *conn)
{
	at_peers_t *peers = conn->peers;
	Almondthread__PeerHeartbeat heartbeat =
	    ALMONDTHREAD__PEER_HEARTBEAT__INIT;
	Almondthread__PeerFrame frame = ALMONDTHREAD__PEER_FRAME__INIT;
	uint64_t age = peers->platform_age_ms;

	heartbeat.versions = peers->versions;
	heartbeat.n_versions = AT_PEER_DOCUMENT_COUNT;
	heartbeat.leaving = peers->leaving;
	if (age != AT_PEER_AGE_UNKNOWN &&
	    age / PLATFORM_AGE_UNIT_MS < UINT32_MAX - 2)
		heartbeat.platform_age =
		    (uint32_t)(age / PLATFORM_AGE_UNIT_MS) + 1;
	frame.body_case = ALMONDTHREAD__PEER_FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	return send_frame(conn, &frame);
}

int
conn_send_message(
    conn_t *conn, at_peer_kind_t kind, const void *data, size_t len)
{
	Almondthread__PeerMessage message = ALMONDTHREAD__PEER_MESSAGE__INIT;
	Almondthread__PeerFrame frame = ALMONDTHREAD__PEER_FRAME__INIT;

	message.kind = (uint32_t)kind;
	message.payload.len = len;
	message.payload.data = (uint8_t *)(uintptr_t)data;
	frame.body_case = ALMONDTHREAD__PEER_FRAME__BODY_MESSAGE;
	frame.message = &message;
	return send_frame(conn, &frame);
}

/* Returns whether the side with the smaller name dialled conn. */
static int
is_preferred_dialer(const conn_t *conn, const member_t *member)
{
	int has_smaller_name = strcmp(conn->peers->self.instance.text,
				   member->info.self.instance.text) < 0;

	return conn->is_dialer == has_smaller_name;
}

/*
 * Of two links to the same incarnation of a member, the newer one is kept,
 * unless only the older one was dialled by the preferred side.
 */
static int
is_duplicate(const conn_t *conn, const member_t *member, uint64_t incarnation)
{
	const conn_t *old = member->conn;

	if (old == NULL || member->info.self.number != incarnation)
		return 0;
	return is_preferred_dialer(old, member) &&
	       !is_preferred_dialer(conn, member);
}

static void
finish_dial(conn_t *conn)
{
	if (conn->dialled_member != NULL &&
	    conn->dialled_member->dialing == conn)
		conn->dialled_member->dialing = NULL;
	conn->dialled_member = NULL;
	if (conn->seed != NULL) {
		conn->seed->dialing = NULL;
		conn->seed->backoff_ms = 0;
	}
}

static void
set_identity(conn_t *conn, member_t *member,
    const Almondthread__PeerHello *hello, const at_name_t *data_centre)
{
	at_peer_member_t *info = &member->info;
	conn_t *old = member->conn;

	if (info->self.number != hello->incarnation) {
		member->leaving_reported = 0;
		info->checked_at_ms = 0;
		memset(info->versions, 0, sizeof(info->versions));
		at_log(AT_LOG_INFO, "peers", NULL,
		    "%s identified itself as incarnation %016llx.",
		    info->self.instance.text,
		    (unsigned long long)hello->incarnation);
	}
	conn->member = member;
	conn->peers->unidentified--;
	member->conn = conn;
	if (old != NULL)
		conn_delete(old);
	finish_dial(conn);
	info->self.number = hello->incarnation;
	info->data_centre = *data_centre;
	if (!info->is_listed)
		memcpy(
		    info->address, hello->address, strlen(hello->address) + 1);
	info->received_at_ms = at_clock_now_ms();
	info->is_alive = 1;
	member->backoff_ms = 0;
	member->heartbeat_at_ms = 0;
}

static at_peer_fault_t
on_hello(conn_t *conn, const Almondthread__PeerHello *hello)
{
	at_peers_t *peers = conn->peers;
	at_name_t name;
	at_name_t data_centre;
	member_t *member;

	if (conn->member != NULL || at_name_set(&name, hello->instance) != 0 ||
	    at_name_set(&data_centre, hello->data_centre) != 0 ||
	    hello->incarnation == 0 || strlen(hello->address) >= AT_ADDR_SIZE)
		return AT_PEER_FAULT_FRAME;
	if (at_name_equal(&name, &peers->self.instance)) {
		if (conn->seed != NULL)
			conn->seed->is_self = 1;
		return AT_PEER_FAULT_DUPLICATE;
	}
	member = peers_find(peers, name.text);
	if (member == NULL)
		member = peers_add(peers, &name);
	if (member == NULL)
		return AT_PEER_FAULT_MEMORY;
	if (is_duplicate(conn, member, hello->incarnation))
		return AT_PEER_FAULT_DUPLICATE;
	send_hello(conn);
	set_identity(conn, member, hello, &data_centre);
	return conn_send_heartbeat(conn) == 0 ? AT_PEER_FAULT_NONE
					      : AT_PEER_FAULT_MEMORY;
}

static void
on_heartbeat(conn_t *conn, const Almondthread__PeerHeartbeat *heartbeat)
{
	at_peers_t *peers = conn->peers;
	member_t *member = conn->member;
	at_peer_member_t *info = &member->info;
	uint64_t age_ms;
	size_t i;

	for (i = 0; i < AT_PEER_DOCUMENT_COUNT; i++)
		info->versions[i] =
		    i < heartbeat->n_versions ? heartbeat->versions[i] : 0;
	member->leaving_reported = heartbeat->leaving;
	info->is_leaving = member->leaving_reported || member->leaving_listed;
	info->checked_at_ms = 0;
	if (heartbeat->platform_age != 0) {
		age_ms =
		    (uint64_t)heartbeat->platform_age * PLATFORM_AGE_UNIT_MS;
		if (age_ms < info->received_at_ms)
			info->checked_at_ms = info->received_at_ms - age_ms;
	}
	if (peers->on_heartbeat != NULL)
		peers->on_heartbeat(peers->heartbeat_ctx, info);
}

static void
on_message(conn_t *conn, const Almondthread__PeerMessage *message)
{
	at_peers_t *peers = conn->peers;
	const handler_t *handler;

	if (message->kind >= AT_PEER_KIND_COUNT ||
	    peers->handlers[message->kind].call == NULL ||
	    message->payload.len > AT_PEER_PAYLOAD_MAX_BYTES) {
		/* Peers of a later release may send other kinds. */
		peers_add_count(
		    peers, "peer_messages_ignored_total", NULL, NULL);
		return;
	}
	handler = &peers->handlers[message->kind];
	handler->call(handler->ctx, &conn->member->info, message->payload.data,
	    message->payload.len);
}

static at_peer_fault_t
handle_frame(conn_t *conn, const Almondthread__PeerFrame *frame)
{
	if (frame->body_case == ALMONDTHREAD__PEER_FRAME__BODY_HELLO)
		return on_hello(conn, frame->hello);
	if (conn->member == NULL)
		return AT_PEER_FAULT_FRAME;
	conn->member->info.received_at_ms = at_clock_now_ms();
	if (frame->body_case == ALMONDTHREAD__PEER_FRAME__BODY_HEARTBEAT)
		on_heartbeat(conn, frame->heartbeat);
	else if (frame->body_case == ALMONDTHREAD__PEER_FRAME__BODY_MESSAGE)
		on_message(conn, frame->message);
	return AT_PEER_FAULT_NONE;
}

static at_peer_fault_t
on_frame(void *ctx, const uint8_t *data, size_t len)
{
	conn_t *conn = ctx;
	Almondthread__PeerFrame *frame =
	    almondthread__peer_frame__unpack(NULL, len, data);
	at_peer_fault_t fault;

	if (frame == NULL)
		return AT_PEER_FAULT_FRAME;
	fault = handle_frame(conn, frame);
	almondthread__peer_frame__free_unpacked(frame, NULL);
	return fault;
}

static void
on_keyed(void *ctx)
{
	send_hello(ctx);
}

static void
on_closed(void *ctx, at_peer_fault_t fault)
{
	conn_t *conn = ctx;

	peers_add_count(conn->peers, "peer_links_closed_total", "fault",
	    at_peer_fault_names[fault]);
	if (fault != AT_PEER_FAULT_NONE && fault != AT_PEER_FAULT_DUPLICATE)
		at_log(AT_LOG_WARN, "peers", NULL,
		    "The link %s %s is closed because of fault '%s'.",
		    conn->member == NULL ? "of" : "to",
		    conn->member == NULL
			? "an unidentified peer"
			: conn->member->info.self.instance.text,
		    at_peer_fault_names[fault]);
	conn_delete(conn);
}

static conn_t *
conn_new(at_peers_t *peers)
{
	conn_t *conn = calloc(1, sizeof(*conn));

	if (conn == NULL)
		return NULL;
	conn->peers = peers;
	conn->since_ms = at_clock_now_ms();
	conn->next = peers->conns;
	if (conn->next != NULL)
		conn->next->prev = conn;
	peers->conns = conn;
	peers->unidentified++;
	return conn;
}

static at_peer_link_spec_t
link_spec(conn_t *conn)
{
	at_peers_t *peers = conn->peers;
	at_peer_link_spec_t spec = {.loop = peers->loop,
	    .secret = &peers->secret,
	    .traffic = &peers->traffic,
	    .events = {on_keyed, on_frame, on_closed, conn}};

	return spec;
}

void
conn_accept(at_peers_t *peers, int fd)
{
	conn_t *conn = conn_new(peers);
	at_peer_link_spec_t spec;

	if (conn == NULL)
		return;
	spec = link_spec(conn);
	conn->link = at_peer_link_accept(&spec, fd);
	if (conn->link == NULL)
		conn_delete(conn);
}

conn_t *
conn_dial(at_peers_t *peers, const struct sockaddr_in *addr, member_t *member,
    seed_t *seed)
{
	conn_t *conn = conn_new(peers);
	at_peer_link_spec_t spec;

	if (conn == NULL)
		return NULL;
	spec = link_spec(conn);
	conn->is_dialer = 1;
	conn->dialled_member = member;
	conn->seed = seed;
	conn->link = at_peer_link_dial(&spec, addr);
	if (conn->link == NULL) {
		conn_delete(conn);
		return NULL;
	}
	peers_add_count(peers, "peer_dials_total", NULL, NULL);
	return conn;
}
