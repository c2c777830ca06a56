/*
 * links.h - cuts entry instances of an entry_fixture off from all backend
 * servers or from the platform's store, while callers and the other instances
 * reach them.
 */
#ifndef ALMONDTHREAD_TESTS_LINKS_H
#define ALMONDTHREAD_TESTS_LINKS_H

#include "support/entry_fixture.h"

typedef enum links_state {
	LINKS_UP,
	LINKS_HANG,   /* new connections are not answered */
	LINKS_RESET,  /* open ones are closed, new ones refused */
	LINKS_NO_NEW, /* open ones live on, new ones are refused */
	LINKS_SILENT, /* open ones become silent, new ones are not answered */
	LINKS_STATES
} links_state_t;

typedef struct links links_t;

/*
 * links_new() also watches the instances that are added later; connections that
 * were opened before are not cut.
 */
links_t *links_new(entry_fixture_t *fixture);
void links_delete(links_t *links);
/* links_add_server() makes an address one of the backend servers. */
void links_add_server(links_t *links, const char *address);
/* links_set() changes the links of one instance to all backend servers. */
void links_set(links_t *links, size_t entry, links_state_t state);
/* links_set_store() does the same with its link to the store. */
void links_set_store(links_t *links, size_t entry, links_state_t state);

#endif
