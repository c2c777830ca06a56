#include "io/shared_body.h"

#include <stdlib.h>
#include <string.h>

at_shared_body_t *
at_shared_body_new(at_memory_t *memory)
{
	at_shared_body_t *body = calloc(1, sizeof(*body));

	if (body == NULL)
		return NULL;
	body->memory = memory;
	body->references = 1;
	return body;
}

/* Room that is not filled is not resident: a large block comes unmapped. */
int
at_shared_body_reserve(at_shared_body_t *body, size_t size)
{
	char *grown;

	if (size <= body->size && body->data != NULL)
		return 0;
	grown = realloc(body->data, size + 1);
	if (grown == NULL)
		return -1;
	body->data = grown;
	at_memory_add_owned(body->memory, body->owner, size - body->size);
	if (body->memory != NULL)
		body->memory->unfilled += size - body->size;
	body->size = size;
	return 0;
}

void
at_shared_body_append(at_shared_body_t *body, const char *data, size_t len)
{
	memcpy(body->data + body->len, data, len);
	body->len += len;
	body->data[body->len] = '\0';
	if (body->memory != NULL)
		body->memory->unfilled -= len;
}

void
at_shared_body_set_owner(at_shared_body_t *body, at_memory_owner_t owner)
{
	body->owner = owner;
}

at_shared_body_t *
at_shared_body_ref(at_shared_body_t *body)
{
	if (body != NULL)
		body->references++;
	return body;
}

void
at_shared_body_unref(at_shared_body_t *body)
{
	if (body == NULL || --body->references > 0)
		return;
	if (body->memory != NULL)
		body->memory->unfilled -= body->size - body->len;
	at_memory_sub_owned(body->memory, body->owner, body->size);
	free(body->data);
	free(body);
}
