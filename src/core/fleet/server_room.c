/*
 * server_room.c - this instance's part of the room at brittle servers.
 *
 * A brittle server falls over when it has to reject too many requests, so none
 * may be sent beyond its room, by all instances together. The places at all
 * servers of a service are numbered, and each instance has every n-th of them,
 * so that it has some at several servers whatever their size.
 *
 * With more instances than places none has any. Each may then send one request
 * at a time to a server, at intervals that bound what all of them send, while
 * the reported load leaves half of the room. The same holds at engines where an
 * instance has no place, for a model may be resident there only.
 */
#include "core/fleet/fleet_private.h"

/* Part of the slots that is used; a new connection may hold one briefly. */
#define USED_PERCENT 85u
/* Time of one request, for the intervals without a place of one's own. */
#define PLAIN_REQUEST_US 100000u
#define STREAM_US 1500000u
/* After a rejection there is half of the room for this time. */
#define REJECTED_US 1000000u
/* Rejections are reported for this time. */
#define REPORTED_US 500000u
/* Other servers are taken into account after this time. */
#define SHARE_AGE_MAX_US 1000000u
/* What no answer has stated for this time has ended. */
#define HEARD_MAX_US 15000000u

static fleet_brittle_t *
find_brittle(at_fleet_t *fleet, at_tag_t service)
{
	size_t i;

	for (i = 0; i < fleet->brittle_count; i++) {
		if (fleet->brittle[i].service == service)
			return &fleet->brittle[i];
	}
	return NULL;
}

int
at_fleet_note_brittle(
    at_fleet_t *fleet, at_tag_t service, int is_brittle, uint64_t received_us)
{
	fleet_brittle_t *brittle = find_brittle(fleet, service);
	int was_brittle = brittle != NULL && brittle->is_brittle;

	if (brittle == NULL && is_brittle &&
	    fleet->brittle_count < AT_BRITTLE_SERVICES_MAX) {
		brittle = &fleet->brittle[fleet->brittle_count++];
		*brittle = (fleet_brittle_t){.service = service};
	}
	if (brittle == NULL || received_us <= brittle->received_us)
		return 0;
	brittle->is_brittle = is_brittle;
	brittle->received_us = received_us;
	return was_brittle != is_brittle;
}

int
at_fleet_is_brittle(const at_fleet_t *fleet, at_tag_t service)
{
	size_t i;

	for (i = 0; i < fleet->brittle_count; i++) {
		if (fleet->brittle[i].service == service)
			return fleet->brittle[i].is_brittle;
	}
	return 0;
}

void
at_fleet_expire_brittle(at_fleet_t *fleet, uint64_t now_us)
{
	size_t i = 0;

	while (i < fleet->brittle_count) {
		if (now_us <= fleet->brittle[i].received_us + HEARD_MAX_US)
			i++;
		else
			fleet->brittle[i] =
			    fleet->brittle[--fleet->brittle_count];
	}
}

void
at_server_note_rejected(at_server_t *server, int is_own, uint64_t now_us)
{
	if (is_own)
		server->room.rejected_here_us = now_us;
	if (now_us > server->room.rejected_us)
		server->room.rejected_us = now_us;
}

/* Fills the servers of one service that have rejected a request recently. */
static void
fill_rejected(
    const at_fleet_t *fleet, at_brittle_report_t *entry, uint64_t now_us)
{
	const at_server_t *server;

	for (server = fleet->servers;
	     server != NULL && entry->rejected_count < AT_BRITTLE_REJECTED_MAX;
	     server = server->hh.next) {
		if (server->entry.service == entry->service &&
		    server->room.rejected_here_us != 0 &&
		    now_us < server->room.rejected_here_us + REPORTED_US)
			entry->rejected[entry->rejected_count++] =
			    server->entry.tag;
	}
}

size_t
at_fleet_fill_brittle(const at_fleet_t *fleet,
    at_brittle_report_t entries[AT_BRITTLE_SERVICES_MAX], uint64_t now_us)
{
	size_t i;

	for (i = 0; i < fleet->brittle_count; i++) {
		const fleet_brittle_t *brittle = &fleet->brittle[i];

		entries[i].service = brittle->service;
		entries[i].is_brittle = brittle->is_brittle;
		entries[i].received_us = brittle->received_us;
		entries[i].rejected_count = 0;
		fill_rejected(fleet, &entries[i], now_us);
	}
	return fleet->brittle_count;
}

static uint32_t
usable_slots(const at_server_t *server)
{
	uint32_t slots = server->entry.slots * USED_PERCENT / 100u;

	return slots == 0 ? 1u : slots;
}

/* Number of the first place at a server among all those of its service. */
static uint32_t
first_place(const at_fleet_t *fleet, const at_server_t *server)
{
	const at_server_t *other;
	uint32_t places = 0;

	for (other = fleet->servers; other != NULL; other = other->hh.next) {
		if (other->is_listed &&
		    other->entry.service == server->entry.service &&
		    other->entry.tag < server->entry.tag)
			places += usable_slots(other);
	}
	return places;
}

/* How many of the first places are those of an instance. */
static uint32_t
places_of(uint32_t rank, uint32_t instances, uint32_t places)
{
	return (places + instances - 1u - rank) / instances;
}

/* At first the instances send one after the other, not all at once. */
static void
set_gap(server_room_t *room, uint64_t gap_us, uint32_t rank, uint32_t instances,
    uint64_t now_us)
{
	if (room->gap_us == 0)
		room->sent_us = now_us + gap_us * rank / instances - gap_us;
	room->gap_us = gap_us;
}

void
at_fleet_share_room(at_fleet_t *fleet, at_tag_t service, uint32_t rank,
    uint32_t instances, uint64_t now_us)
{
	uint32_t places = 0;
	fleet_brittle_t *brittle = find_brittle(fleet, service);
	at_server_t *server;

	if (instances == 0 || brittle == NULL)
		return;
	if (rank >= instances)
		rank = instances - 1u;
	/* The order of the servers takes a time that grows with its square. */
	if (brittle->rank == rank && brittle->instances == instances &&
	    now_us < brittle->shared_us + SHARE_AGE_MAX_US)
		return;
	brittle->rank = rank;
	brittle->instances = instances;
	brittle->shared_us = now_us;
	for (server = fleet->servers; server != NULL; server = server->hh.next)
		places += server->is_listed && server->entry.service == service
			      ? usable_slots(server)
			      : 0;
	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		int is_engine = server->entry.residents.count > 0;
		uint32_t slots = usable_slots(server);
		uint32_t first;

		if (server->entry.service != service)
			continue;
		first = first_place(fleet, server);
		server->room.share =
		    instances > places
			? 0
			: places_of(rank, instances, first + slots) -
			      places_of(rank, instances, first);
		server->room.is_spaced = is_engine || instances > places;
		set_gap(&server->room,
		    (uint64_t)(is_engine ? STREAM_US : PLAIN_REQUEST_US) *
			instances / slots,
		    rank, instances, now_us);
	}
}

void
server_room_take(server_room_t *room, uint64_t now_us)
{
	room->sent_us = now_us;
}

uint32_t
server_room_free(
    const at_server_t *server, const at_load_t *load, uint64_t now_us)
{
	const server_room_t *room = &server->room;
	uint32_t active = server->own_load.active;
	uint32_t share = room->share;
	int is_rejecting =
	    room->rejected_us != 0 && now_us < room->rejected_us + REJECTED_US;

	if (is_rejecting)
		share /= 2u;
	if (share > 0)
		return share > active ? share - active : 0;
	return room->share == 0 && room->is_spaced && active == 0 &&
	       !is_rejecting && load->active * 2u <= usable_slots(server) &&
	       now_us >= room->sent_us + room->gap_us;
}

uint64_t
server_room_kv_tokens(const at_server_t *server, uint64_t kv_tokens)
{
	return kv_tokens * server->room.share / usable_slots(server);
}
