#include "io/clock.h"

#include <time.h>

#include <sodium.h>

#define US_PER_S 1000000u
#define NS_PER_US 1000u
#define US_PER_MS 1000u

uint64_t
at_clock_now_us(void)
{
	struct timespec now;

	(void)clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * US_PER_S +
	       (uint64_t)now.tv_nsec / NS_PER_US;
}

uint64_t
at_clock_now_ms(void)
{
	return at_clock_now_us() / US_PER_MS;
}

static uint64_t
clock_port_now(void *impl)
{
	(void)impl;
	return at_clock_now_ms();
}

static uint64_t
wall_port_now(void *impl)
{
	struct timespec now;

	(void)impl;
	(void)clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * (US_PER_S / US_PER_MS) +
	       (uint64_t)now.tv_nsec / (NS_PER_US * US_PER_MS);
}

at_clock_t
at_clock_wall(void)
{
	at_clock_t clock = {wall_port_now, NULL};

	return clock;
}

at_clock_t
at_clock_system(void)
{
	at_clock_t clock = {clock_port_now, NULL};

	return clock;
}

static uint64_t
random_port_next(void *impl)
{
	uint64_t value;

	(void)impl;
	randombytes_buf(&value, sizeof(value));
	return value;
}

at_random_t
at_random_system(void)
{
	at_random_t random = {random_port_next, NULL};

	return random;
}
