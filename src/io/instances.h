/*
 * instances.h - the platform's instance list as text: JSON with a revision
 * that grows with each change and an array of rows.
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
 * at_instances_parse() reads a list; rows that it does not understand are
 * left out. Returns NULL when the text is no list with a revision.
 */
at_instances_t *at_instances_parse(const char *text, size_t len);
void at_instances_delete(at_instances_t *instances);

#endif
