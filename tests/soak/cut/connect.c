/*
 * connect.c - linked into the almond-entry of the soak in place of connect():
 * cuts the process off from the backend servers, which are all on 127.0.0.1,
 * and not from the store or other instances.
 *
 * SOAK_CUT_FILE names a file with a letter and a port: "u" no cut, "h" new and
 * open connections hang, "r" open ones are closed and new ones refused, "n"
 * open ones live on and new ones are refused. SIGURG has it applied to open
 * ones.
 */
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#define SOCKETS_MAX 4096

static volatile char is_to_server[SOCKETS_MAX]; /* by descriptor */
static in_port_t store_port;

/* Returns the letter; sets the port where connections hang. */
static char
read_state(in_port_t *hanging)
{
	const char *path = getenv("SOAK_CUT_FILE");
	char text[16] = "u 0";
	int fd = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);

	if (fd >= 0) {
		ssize_t len = read(fd, text, sizeof(text) - 1);

		text[len > 0 ? len : 0] = '\0';
		(void)close(fd);
	}
	*hanging = htons((uint16_t)atoi(text[0] == '\0' ? "0" : text + 1));
	return text[0];
}

static int
is_server(const struct sockaddr *address)
{
	const struct sockaddr_in *in =
	    (const struct sockaddr_in *)(const void *)address;

	return address->sa_family == AF_INET &&
	       in->sin_addr.s_addr == htonl(INADDR_LOOPBACK) &&
	       in->sin_port != store_port;
}

/*
 * Accepted connections may have a descriptor that was used before; their own
 * address is that of the instance.
 */
static int
is_connected_to_server(int fd)
{
	struct sockaddr_in own;
	struct sockaddr_in peer;
	socklen_t own_len = sizeof(own);
	socklen_t peer_len = sizeof(peer);

	return getsockname(fd, (struct sockaddr *)&own, &own_len) == 0 &&
	       getpeername(fd, (struct sockaddr *)&peer, &peer_len) == 0 &&
	       own.sin_addr.s_addr == htonl(INADDR_LOOPBACK) &&
	       is_server((const struct sockaddr *)&peer);
}

/* Drops, or lets through again, all that arrives. */
static void
set_filter(int fd, int drops)
{
	struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = {1, &drop_all};

	if (drops)
		(void)setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		    sizeof(program));
	else
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_DETACH_FILTER, &drops, sizeof(drops));
}

static void
on_signal(int number)
{
	int saved_errno = errno;
	in_port_t hanging;
	char state = read_state(&hanging);
	int fd;

	(void)number;
	for (fd = 0; fd < SOCKETS_MAX; fd++) {
		if (!is_to_server[fd] || !is_connected_to_server(fd))
			continue;
		if (state == 'r')
			(void)shutdown(fd, SHUT_RDWR);
		else if (state != 'n')
			set_filter(fd, state == 'h');
	}
	errno = saved_errno;
}

__attribute__((constructor)) static void
install(void)
{
	const struct sigaction action = {
	    .sa_handler = on_signal, .sa_flags = SA_RESTART};
	const char *port = getenv("SOAK_STORE_PORT");

	store_port = htons((uint16_t)(port == NULL ? 0 : atoi(port)));
	(void)sigaction(SIGURG, &action, NULL);
}

int
connect(int fd, const struct sockaddr *address, socklen_t len)
{
	struct sockaddr_in changed;
	in_port_t hanging;
	char state;

	if (fd >= 0 && fd < SOCKETS_MAX)
		is_to_server[fd] = (char)is_server(address);
	if (!is_server(address))
		return (int)syscall(SYS_connect, fd, address, len);
	state = read_state(&hanging);
	if (state == 'r' || state == 'n') {
		errno = ECONNREFUSED;
		return -1;
	}
	memcpy(&changed, address, sizeof(changed));
	if (state == 'h')
		changed.sin_port = hanging;
	return (int)syscall(SYS_connect, fd, &changed, sizeof(changed));
}
