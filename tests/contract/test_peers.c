/*
 * Links between instances over loopback, their members and the owners of
 * roles. A malformed message or a wrong secret closes the link of its sender
 * and no other one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/address.h"
#include "io/peer_stream.h"
#include "io/peers.h"
#include "support/fixture.h"

#define PEERS 5
/* Stated target: a change is in force at all instances within 12 s. */
#define LINK_LIMIT_MS 12000u
#define WRONG_SECRET \
	"ff0102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

typedef struct peer {
	at_peers_t *peers;
	at_counters_t *counters;
	size_t received_count; /* messages received */
	char last_message[64];
} peer_t;

static fixture_t *fixture;
static peer_t peers[PEERS];
static at_instance_t list[PEERS];
static size_t count;

static void
on_message(
    void *ctx, const at_peer_member_t *from, const void *data, size_t len)
{
	peer_t *peer = ctx;

	(void)from;
	peer->received_count++;
	(void)snprintf(peer->last_message, sizeof(peer->last_message), "%.*s",
	    (int)len, (char *)data);
}

static void
start_peer(size_t i, const char *secret_hex, const char *data_centre)
{
	at_instance_t *entry = &list[i];
	at_incarnation_t self = {.number = 100 + i};
	at_fleet_secret_t secret;
	at_status_t status;

	cr_assert_eq(at_fleet_secret_parse(&secret, secret_hex), 0);
	(void)snprintf(entry->name.text, sizeof(entry->name.text), "p%zu", i);
	(void)at_name_set(&entry->data_centre, data_centre);
	entry->kind = AT_INSTANCE_ENTRY;
	self.instance = entry->name;
	peers[i].counters = at_counters_new();
	peers[i].peers = at_peers_new(fixture->loop);
	at_peers_set_self(peers[i].peers, &self, &entry->data_centre);
	at_peers_set_secret(peers[i].peers, &secret);
	at_peers_set_counters(peers[i].peers, peers[i].counters);
	at_peers_set_handler(
	    peers[i].peers, AT_PEER_SUSPECTS, on_message, &peers[i]);
	cr_assert_eq(
	    at_peers_init(peers[i].peers, "127.0.0.1:0", &status), AT_OK);
	(void)snprintf(entry->peer_address, AT_ADDR_SIZE, "127.0.0.1:%u",
	    at_peers_port(peers[i].peers));
}

static void
start_peers(size_t peer_count)
{
	size_t i;

	fixture = fixture_new();
	memset(list, 0, sizeof(list));
	memset(peers, 0, sizeof(peers));
	count = peer_count;
	for (i = 0; i < peer_count; i++)
		start_peer(i, fixture_secret(), i < 3 ? "north" : "south");
	for (i = 0; i < peer_count; i++)
		at_peers_update(peers[i].peers, list, peer_count);
}

static void
stop_peer(size_t i)
{
	at_peers_delete(peers[i].peers);
	at_counters_delete(peers[i].counters);
	memset(&peers[i], 0, sizeof(peers[i]));
}

static void
teardown(void)
{
	size_t i;

	for (i = 0; i < PEERS; i++)
		stop_peer(i);
	fixture_delete(fixture);
}

static void
count_alive(void *ctx, const at_peer_member_t *member)
{
	*(size_t *)ctx += (size_t)member->is_alive;
}

static int
are_all_alive(void *ctx)
{
	size_t i;

	(void)ctx;
	for (i = 0; i < count; i++) {
		size_t alive = 0;

		if (peers[i].peers == NULL)
			continue;
		at_peers_each(peers[i].peers, count_alive, &alive);
		if (alive != count - 1)
			return 0;
	}
	return 1;
}

static int
has_received(void *ctx)
{
	return ((peer_t *)ctx)->received_count > 0;
}

Test(peers, two_exchange_messages, .fini = teardown)
{
	start_peers(2);
	cr_assert_eq(at_peers_send(peers[0].peers, &list[1].name,
			 AT_PEER_SUSPECTS, "x", 1),
	    -1, "sent without a link");
	cr_assert(
	    fixture_run_until(fixture, are_all_alive, NULL, LINK_LIMIT_MS));
	cr_assert_eq(at_peers_send(peers[0].peers, &list[1].name,
			 AT_PEER_SUSPECTS, "hello", 5),
	    0);
	cr_assert(
	    fixture_run_until(fixture, has_received, &peers[1], LINK_LIMIT_MS));
	cr_assert_str_eq(peers[1].last_message, "hello");
	/* A message without a handler is ignored; the link stays open. */
	cr_assert_eq(at_peers_send(
			 peers[1].peers, &list[0].name, AT_PEER_DEMAND, "?", 1),
	    0);
	cr_assert_eq(at_peers_send(peers[1].peers, &list[0].name,
			 AT_PEER_SUSPECTS, "back", 4),
	    0);
	cr_assert(
	    fixture_run_until(fixture, has_received, &peers[0], LINK_LIMIT_MS));
	cr_assert_eq(at_counters_get(peers[0].counters,
			 "peer_messages_ignored_total", NULL, NULL),
	    1);
}

Test(peers, the_largest_payload_is_delivered, .fini = teardown)
{
	char *payload = calloc(1, AT_PEER_PAYLOAD_MAX_BYTES + 1);

	start_peers(2);
	cr_assert(
	    fixture_run_until(fixture, are_all_alive, NULL, LINK_LIMIT_MS));
	cr_assert_eq(
	    at_peers_send(peers[0].peers, &list[1].name, AT_PEER_SUSPECTS,
		payload, AT_PEER_PAYLOAD_MAX_BYTES + 1),
	    -1);
	cr_assert_eq(at_peers_send(peers[0].peers, &list[1].name,
			 AT_PEER_SUSPECTS, payload, AT_PEER_PAYLOAD_MAX_BYTES),
	    0);
	cr_assert(
	    fixture_run_until(fixture, has_received, &peers[1], LINK_LIMIT_MS));
	free(payload);
}

static const at_name_t *
find_owner(size_t i, const char *data_centre, const char *key, uint32_t rank)
{
	at_name_t name;

	(void)at_name_set(&name, data_centre);
	return at_peers_owner(peers[i].peers, &name, key, rank);
}

Test(peers, five_agree_on_every_role, .fini = teardown)
{
	static const char *const data_centres[] = {"north", "south", "nowhere"};
	static const uint32_t sizes[] = {3, 2, 0};
	size_t used[PEERS] = {0};
	char key[16];
	size_t dc;
	size_t role;
	size_t i;
	uint32_t rank;

	start_peers(5);
	cr_assert(
	    fixture_run_until(fixture, are_all_alive, NULL, LINK_LIMIT_MS));
	for (role = 0; role < 200; role++) {
		(void)snprintf(key, sizeof(key), "role-%zu", role);
		for (dc = 0; dc < 3; dc++) {
			for (rank = 0; rank < sizes[dc]; rank++) {
				const at_name_t *first =
				    find_owner(0, data_centres[dc], key, rank);

				cr_assert_not_null(first);
				used[first->text[1] - '0']++;
				for (i = 1; i < PEERS; i++)
					cr_assert(at_name_equal(first,
					    find_owner(i, data_centres[dc], key,
						rank)));
			}
			cr_assert_null(
			    find_owner(0, data_centres[dc], key, sizes[dc]));
		}
	}
	for (i = 0; i < PEERS; i++)
		cr_assert_eq(used[i], 200, "not one rank of each role");
}

static int
south_is_owned_by_p4(void *ctx)
{
	const at_name_t *first = find_owner(0, "south", "reader", 0);

	(void)ctx;
	return first != NULL && strcmp(first->text, "p4") == 0 &&
	       find_owner(0, "south", "reader", 1) == NULL;
}

Test(peers, a_leaving_peer_loses_its_roles, .fini = teardown)
{
	start_peers(5);
	cr_assert(
	    fixture_run_until(fixture, are_all_alive, NULL, LINK_LIMIT_MS));
	at_peers_send_leaving(peers[3].peers);
	cr_assert(fixture_run_until(
	    fixture, south_is_owned_by_p4, NULL, LINK_LIMIT_MS));
	cr_assert(at_peers_member(peers[0].peers, &list[3].name)->is_alive);
	cr_assert_eq(
	    strcmp(find_owner(3, "south", "reader", 0)->text, "p4"), 0);
}

static int
has_new_incarnation(void *ctx)
{
	const at_peer_member_t *member =
	    at_peers_member(peers[0].peers, &list[1].name);

	(void)ctx;
	return member->is_alive && member->self.number == 777;
}

Test(peers, a_new_incarnation_replaces_the_old_one, .fini = teardown)
{
	at_incarnation_t self = {.number = 777};
	at_fleet_secret_t secret;
	at_status_t status;

	start_peers(2);
	cr_assert(
	    fixture_run_until(fixture, are_all_alive, NULL, LINK_LIMIT_MS));
	stop_peer(1);
	peers[1].peers = at_peers_new(fixture->loop);
	self.instance = list[1].name;
	(void)at_fleet_secret_parse(&secret, fixture_secret());
	at_peers_set_self(peers[1].peers, &self, &list[1].data_centre);
	at_peers_set_secret(peers[1].peers, &secret);
	cr_assert_eq(
	    at_peers_init(peers[1].peers, list[1].peer_address, &status),
	    AT_OK);
	at_peers_update(peers[1].peers, list, 2);
	cr_assert(fixture_run_until(
	    fixture, has_new_incarnation, NULL, LINK_LIMIT_MS));
}

Test(peers, seeds_work_without_an_instance_list, .fini = teardown)
{
	start_peers(2);
	at_peers_update(peers[0].peers, NULL, 0);
	at_peers_update(peers[1].peers, NULL, 0);
	cr_assert_eq(at_peers_add_seed(peers[0].peers, "nowhere:1"), -1);
	cr_assert_eq(
	    at_peers_add_seed(peers[0].peers, list[0].peer_address), 0);
	cr_assert_eq(
	    at_peers_add_seed(peers[0].peers, list[1].peer_address), 0);
	cr_assert(
	    fixture_run_until(fixture, are_all_alive, NULL, LINK_LIMIT_MS));
	cr_assert_not(
	    at_peers_member(peers[1].peers, &list[0].name)->is_listed);
}

static uint64_t
count_closed_links(size_t i, const char *fault)
{
	return at_counters_get(
	    peers[i].counters, "peer_links_closed_total", "fault", fault);
}

static int
is_seal_fault_counted(void *ctx)
{
	(void)ctx;
	return count_closed_links(0, "seal") + count_closed_links(1, "seal") >
	       0;
}

Test(peers, a_wrong_secret_makes_no_link, .fini = teardown)
{
	start_peers(1);
	start_peer(1, WRONG_SECRET, "north");
	at_peers_update(peers[0].peers, list, 2);
	at_peers_update(peers[1].peers, list, 2);
	cr_assert(fixture_run_until(
	    fixture, is_seal_fault_counted, NULL, LINK_LIMIT_MS));
	cr_assert_not(at_peers_member(peers[0].peers, &list[1].name)->is_alive);
	cr_assert_not(at_peers_member(peers[1].peers, &list[0].name)->is_alive);
}

static int
connect_raw(size_t i)
{
	struct sockaddr_in addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_eq(at_address_parse(list[i].peer_address, &addr), 0);
	cr_assert_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	return fd;
}

typedef struct malformed_case {
	const char *fault;
	uint8_t bytes[64];
	size_t len;
} malformed_case_t;

static const malformed_case_t malformed_cases[] = {
    {"preamble", "GET / HTTP/1.1\r\nHost: someone\r\n\r\n----------", 44},
    {"version", "ALTH\x02", 40},
    {"version", "ALTH\x01\x01", 40},
    {"length", "ALTH\x01\0\0\0", 44},
    {"length", {'A', 'L', 'T', 'H', 1, [40] = 0xff, 0xff, 0xff, 0x7f}, 44},
    {"length", {'A', 'L', 'T', 'H', 1, [40] = 0x11, 0x04}, 44},
    {"seal", {'A', 'L', 'T', 'H', 1, [40] = 0x10}, 60},
};

typedef struct expected_fault {
	const char *fault;
	uint64_t number;
} expected_fault_t;

static int
is_fault_counted(void *ctx)
{
	const expected_fault_t *expected_fault = ctx;

	return count_closed_links(0, expected_fault->fault) >=
	       expected_fault->number;
}

Test(peers, malformed_bytes_close_only_their_link, .fini = teardown)
{
	size_t i;

	start_peers(2);
	cr_assert(
	    fixture_run_until(fixture, are_all_alive, NULL, LINK_LIMIT_MS));
	for (i = 0; i < sizeof(malformed_cases) / sizeof(malformed_cases[0]);
	     i++) {
		const malformed_case_t *malformed = &malformed_cases[i];
		expected_fault_t expected_fault = {malformed->fault,
		    count_closed_links(0, malformed->fault) + 1};
		int fd = connect_raw(0);

		cr_assert_eq(write(fd, malformed->bytes, malformed->len),
		    (ssize_t)malformed->len);
		cr_assert(fixture_run_until(fixture, is_fault_counted,
			      &expected_fault, LINK_LIMIT_MS),
		    "case %zu: fault '%s' not counted", i, malformed->fault);
		(void)close(fd);
	}
	cr_assert(are_all_alive(NULL), "the other link was closed");
	cr_assert_eq(count_closed_links(0, "none"), 0);
}

static int
is_silent_link_replaced(void *ctx)
{
	(void)ctx;
	return at_counters_get(peers[0].counters, "peer_links_silent_total",
		   NULL, NULL) > 0 &&
	       are_all_alive(NULL);
}

Test(peers, a_silent_link_is_replaced, .fini = teardown)
{
	standin_relay_t *relay;
	at_instance_t relayed_list[2];
	char control[AT_ADDR_SIZE];
	at_status_t status;

	start_peers(2);
	memcpy(relayed_list, list, sizeof(relayed_list));
	relay = standin_relay_new(fixture->loop);
	cr_assert_eq(standin_relay_init(relay, "127.0.0.1:0",
			 list[1].peer_address, "127.0.0.1:0", &status),
	    AT_OK);
	(void)snprintf(relayed_list[1].peer_address, AT_ADDR_SIZE,
	    "127.0.0.1:%u", standin_relay_port(relay));
	(void)snprintf(control, sizeof(control), "127.0.0.1:%u",
	    standin_relay_control_port(relay));
	at_peers_update(peers[0].peers, relayed_list, 2);
	at_peers_update(peers[1].peers, NULL, 0);
	cr_assert(
	    fixture_run_until(fixture, are_all_alive, NULL, LINK_LIMIT_MS));
	fixture_set_faults(fixture, control, "{\"silent_old\":1}");
	cr_assert(fixture_run_until(
	    fixture, is_silent_link_replaced, NULL, LINK_LIMIT_MS));
	standin_relay_delete(relay);
}
