/*
 * clock.h - the system's clock and random source as ports of the core.
 */
#ifndef ALMONDTHREAD_IO_CLOCK_H
#define ALMONDTHREAD_IO_CLOCK_H

#include "almondthread/ports.h"

/* at_clock_now_ms() returns time since boot, suspension included, in ms. */
uint64_t at_clock_now_ms(void);
/* at_clock_now_us() returns the same in microseconds. */
uint64_t at_clock_now_us(void);
at_clock_t at_clock_system(void);
/* at_random_system() returns a cryptographic source. */
at_random_t at_random_system(void);

/* at_clock_wall() counts milliseconds since 1970; it may be set back. */
at_clock_t at_clock_wall(void);

#endif
