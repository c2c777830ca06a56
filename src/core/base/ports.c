#include "almondthread/ports.h"

#include <assert.h>

const char *const at_store_code_names[] = {
    "ok", "not_found", "conflict", "not_sent", "unknown"};
const char *const at_instance_kind_names[] = {"entry", "engine", "service"};
const char *const at_order_kind_names[] = {
    "load_model", "unload_model", "load_adapter", "unload_adapter", "set_role"};
const char *const at_order_result_names[] = {
    "done", "refused", "fenced", "unknown"};

uint64_t
at_rng_next(at_rng_t *rng)
{
	uint64_t z;

	rng->state += 0x9e3779b97f4a7c15u;
	z = rng->state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

uint64_t
at_rng_below(at_rng_t *rng, uint64_t bound)
{
	assert(bound != 0);
	return at_rng_next(rng) % bound;
}

static uint64_t
rng_port_next(void *impl)
{
	return at_rng_next(impl);
}

at_random_t
at_rng_port(at_rng_t *rng)
{
	at_random_t port = {rng_port_next, rng};

	return port;
}
