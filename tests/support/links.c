#include "support/links.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#define SOCKETS_MAX 1024u /* opened by one instance */
#define FILLERS 3u        /* connections that fill a listener's backlog */

typedef struct link {
	links_t *links;
	links_state_t state;       /* to the backend servers */
	links_state_t store_state; /* to the platform's store */
	int fds[SOCKETS_MAX];
	size_t fd_count;
} link_t;

struct links {
	entry_fixture_t *fixture;
	link_t of[ENTRY_FIXTURE_MAX];
	in_port_t further;  /* of a backend server that is not the fixture's */
	in_port_t refusing; /* nothing listens there */
	in_port_t hanging;  /* drops requests to connect */
	int sockets[1u + FILLERS];
	int silent[2]; /* nobody reads or writes the second one */
};

static int
is_server_port(const links_t *links, in_port_t port)
{
	size_t i;

	for (i = 0; i < links->fixture->server_count; i++) {
		if (standin_server_port(links->fixture->servers[i]) ==
		    ntohs(port))
			return 1;
	}
	return links->further != 0 && links->further == port;
}

static int
is_store_port(const links_t *links, in_port_t port)
{
	const char *colon = strrchr(links->fixture->store_address, ':');

	return strtoul(colon + 1, NULL, 10) == ntohs(port);
}

/* A descriptor that is opened again belongs to the last that opened it. */
static void
forget_fd(links_t *links, int fd)
{
	size_t i;
	size_t k;

	for (i = 0; i < links->fixture->entry_count; i++) {
		for (k = 0; k < SOCKETS_MAX; k++) {
			if (links->of[i].fds[k] == fd)
				links->of[i].fds[k] = -1;
		}
	}
}

static void
on_open(void *ctx, int fd, struct sockaddr_in *address)
{
	link_t *link = ctx;
	links_state_t state = LINKS_UP;

	forget_fd(link->links, fd);
	if (is_server_port(link->links, address->sin_port))
		state = link->state;
	else if (is_store_port(link->links, address->sin_port))
		state = link->store_state;
	else
		return;
	link->fds[link->fd_count++ % SOCKETS_MAX] = fd;
	if (state == LINKS_HANG || state == LINKS_SILENT)
		address->sin_port = link->links->hanging;
	else if (state != LINKS_UP)
		address->sin_port = link->links->refusing;
}

/* Returns the port of a new socket, bound on loopback. */
static in_port_t
bind_any(int fd)
{
	struct sockaddr_in bound = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(bound);

	cr_assert_eq(bind(fd, (struct sockaddr *)&bound, sizeof(bound)), 0);
	cr_assert_eq(getsockname(fd, (struct sockaddr *)&bound, &len), 0);
	return bound.sin_port;
}

/* A listener with a full backlog drops further requests to connect. */
static void
open_hanging(links_t *links)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	size_t i;

	links->sockets[0] = socket(AF_INET, SOCK_STREAM, 0);
	links->hanging = bind_any(links->sockets[0]);
	cr_assert_eq(listen(links->sockets[0], 0), 0);
	address.sin_port = links->hanging;
	for (i = 1; i <= FILLERS; i++) {
		links->sockets[i] =
		    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(links->sockets[i], (struct sockaddr *)&address,
		    sizeof(address));
	}
}

static void
watch_entry(void *ctx, size_t entry)
{
	links_t *links = ctx;

	links->of[entry].links = links;
	at_httpc_set_open_handler(
	    links->fixture->entries[entry]->httpc, on_open, &links->of[entry]);
}

links_t *
links_new(entry_fixture_t *fixture)
{
	links_t *links = calloc(1, sizeof(*links));
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	size_t i;

	links->fixture = fixture;
	links->refusing = bind_any(fd);
	(void)close(fd);
	open_hanging(links);
	cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, links->silent), 0);
	fixture->on_entry_created = watch_entry;
	fixture->on_entry_created_ctx = links;
	for (i = 0; i < fixture->entry_count; i++)
		watch_entry(links, i);
	return links;
}

void
links_delete(links_t *links)
{
	size_t i;

	for (i = 0; i <= FILLERS; i++)
		(void)close(links->sockets[i]);
	(void)close(links->silent[0]);
	(void)close(links->silent[1]);
	free(links);
}

void
links_add_server(links_t *links, const char *address)
{
	links->further =
	    htons((in_port_t)strtoul(strrchr(address, ':') + 1, NULL, 10));
}

static void
end_connection(const links_t *links, int fd, links_state_t state)
{
	if (state == LINKS_RESET)
		(void)shutdown(fd, SHUT_RDWR);
	else if (state == LINKS_SILENT)
		(void)dup2(links->silent[0], fd);
}

/* The descriptors may have been closed, and used again for other sockets. */
static void
end_open(const link_t *link, links_state_t state,
    int (*is_port)(const links_t *links, in_port_t port))
{
	size_t i;

	for (i = 0; i < link->fd_count && i < SOCKETS_MAX; i++) {
		struct sockaddr_in peer;
		socklen_t len = sizeof(peer);

		if (link->fds[i] >= 0 &&
		    getpeername(link->fds[i], (struct sockaddr *)&peer, &len) ==
			0 &&
		    peer.sin_family == AF_INET &&
		    is_port(link->links, peer.sin_port))
			end_connection(link->links, link->fds[i], state);
	}
}

void
links_set(links_t *links, size_t entry, links_state_t state)
{
	links->of[entry].state = state;
	end_open(&links->of[entry], state, is_server_port);
}

void
links_set_store(links_t *links, size_t entry, links_state_t state)
{
	links->of[entry].store_state = state;
	end_open(&links->of[entry], state, is_store_port);
}
