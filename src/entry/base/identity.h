/*
 * identity.h - what names an entry instance to the others, and what they share.
 * It does not change while the instance runs.
 */
#ifndef ALMONDTHREAD_ENTRY_IDENTITY_H
#define ALMONDTHREAD_ENTRY_IDENTITY_H

#include "almondthread/keyring.h"
#include "almondthread/site.h"

typedef struct at_identity {
	at_incarnation_t self;
	at_tag_t tag; /* of its name */
	at_tag_t data_centre;
	at_fleet_secret_t secret; /* of all instances */
	uint64_t started_ms;      /* in ms since 1970 */
	uint32_t strength; /* capacity for shared tasks, in percent of a core */
} at_identity_t;

#endif
