/*
 * shared_body.h - the body of a request: kept once, for the request and for all
 * transfers that send it, and charged to the memory account.
 */
#ifndef ALMONDTHREAD_IO_SHARED_BODY_H
#define ALMONDTHREAD_IO_SHARED_BODY_H

#include "almondthread/memory.h"

typedef struct at_shared_body {
	at_memory_t *memory; /* NULL: no account; outlives the body */
	at_memory_owner_t owner;
	uint32_t references;
	char *data; /* NUL-terminated, or NULL */
	size_t len;
	size_t size; /* that is charged, without the NUL */
} at_shared_body_t;

/* at_shared_body_new() returns an empty body with one reference, or NULL. */
at_shared_body_t *at_shared_body_new(at_memory_t *memory);
/*
 * at_shared_body_reserve() makes room for size bytes in all, with one charge.
 * Returns -1 if out of memory. at_shared_body_append() appends within that
 * room.
 */
int at_shared_body_reserve(at_shared_body_t *body, size_t size);
void at_shared_body_append(
    at_shared_body_t *body, const char *data, size_t len);
/* at_shared_body_set_owner() is called before at_shared_body_reserve(). */
void at_shared_body_set_owner(at_shared_body_t *body, at_memory_owner_t owner);
/* at_shared_body_ref() returns body, which may be NULL in both. */
at_shared_body_t *at_shared_body_ref(at_shared_body_t *body);
void at_shared_body_unref(at_shared_body_t *body);

#endif
