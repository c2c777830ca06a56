/*
 * clock.h - the system's clocks and its random number generator, also as the
 * ports that src/core uses.
 */
#ifndef ALMONDTHREAD_IO_CLOCK_H
#define ALMONDTHREAD_IO_CLOCK_H

#include "almondthread/ports.h"

/* at_clock_now_ms() returns the ms since boot, including suspended time. */
uint64_t at_clock_now_ms(void);
/* at_clock_now_us() returns the same time in microseconds. */
uint64_t at_clock_now_us(void);
/* at_clock_system() returns at_clock_now_ms() as a port. */
at_clock_t at_clock_system(void);
/* at_random_system() returns a cryptographically secure generator. */
at_random_t at_random_system(void);

/* at_clock_wall() returns the ms since 1970; this clock may be set back. */
at_clock_t at_clock_wall(void);

#endif
