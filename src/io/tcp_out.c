#include "io/tcp_out.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
/* On Linux TCP_USER_TIMEOUT decides instead, where both are set. */
#define KEEPALIVE_PROBES_MAX 14
#define RELEASED_MAX_MS 3000
#define HELD_MAX_MS 15000

static void
set_silence_max(int fd, int max_ms)
{
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &max_ms, sizeof(max_ms));
}

static void
set_discarding(int fd, int is_discarding)
{
	const struct linger linger = {is_discarding, 0};

	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

void
tcp_out_init(int fd)
{
	static const struct {
		int level;
		int name;
		int value;
	} options[] = {{SOL_SOCKET, SO_KEEPALIVE, 1},
	    {IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S},
	    {IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S},
	    {IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES_MAX}};
	size_t i;

	for (i = 0; i < sizeof(options) / sizeof(options[0]); i++)
		(void)setsockopt(fd, options[i].level, options[i].name,
		    &options[i].value, sizeof(options[i].value));
	tcp_out_hold(fd);
	set_discarding(fd, 1);
}

void
tcp_out_hold(int fd)
{
	set_silence_max(fd, HELD_MAX_MS);
}

void
tcp_out_release(int fd)
{
	set_silence_max(fd, RELEASED_MAX_MS);
}

int
tcp_out_pending(int fd)
{
	int pending = 0;

	return ioctl(fd, SIOCOUTQ, &pending) == 0 ? pending : 0;
}

int
tcp_out_close(int fd)
{
	if (tcp_out_pending(fd) == 0)
		set_discarding(fd, 0);
	return close(fd);
}
