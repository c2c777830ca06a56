/*
 * tcp_out.h - what a TCP connection has sent and the other side has not
 * acknowledged. Behind a cut these bytes stay in the kernel and are sent again
 * after it, also when the program has closed the connection. A connection that
 * ends with such bytes is therefore reset, which discards them. The program has
 * to give up before the kernel does, since it cannot reset a connection that
 * the kernel has ended.
 *
 * All functions take an open TCP socket; errors of the kernel are ignored.
 */
#ifndef ALMONDTHREAD_IO_TCP_OUT_H
#define ALMONDTHREAD_IO_TCP_OUT_H

/*
 * tcp_out_init() sets the options of a new socket. It discards its bytes when
 * the process ends, and is held.
 */
void tcp_out_init(int fd);
/*
 * A socket that is held ends after 15 s without a sign of the other side, later
 * than the program gives up a request. Between requests it must be held, too: a
 * limit that is raised once the other side is silent may have no effect.
 * tcp_out_release() lets it end after three seconds, for when all bytes have
 * been acknowledged; tcp_out_hold() ends that.
 */
void tcp_out_release(int fd);
void tcp_out_hold(int fd);
/* tcp_out_pending() returns the number of bytes that are not acknowledged. */
int tcp_out_pending(int fd);
/*
 * tcp_out_close() closes the socket. Without pending bytes it does so in order:
 * unlike a reset, that is repeated until the other side knows of it. Returns
 * what close() does.
 */
int tcp_out_close(int fd);

#endif
