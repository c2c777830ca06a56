/*
 * instances.h - parses the platform's instance list: a JSON object with a
 * revision, which grows with each change, and an array of instances.
 */
#ifndef ALMONDTHREAD_IO_INSTANCES_H
#define ALMONDTHREAD_IO_INSTANCES_H

#include "almondthread/ports.h"

typedef struct at_instances {
	uint64_t revision;
	at_instance_t *entries;
	size_t count;
} at_instances_t;

/*
 * at_instances_parse() parses a list. Entries of an unknown kind, or without a
 * valid name or data centre, are skipped. Returns NULL if the text is not a
 * list with a revision. The caller frees it with at_instances_delete().
 */
at_instances_t *at_instances_parse(const char *text, size_t len);
void at_instances_delete(at_instances_t *instances);

#endif
