/*
 * faulty_store.h - the platform's object API in memory, for stateful fuzzers.
 * A call stays open until the fuzzer chooses its outcome. A put whose caller
 * got no response may still be applied at any later time.
 */
#ifndef ALMONDTHREAD_TESTS_FAULTY_STORE_H
#define ALMONDTHREAD_TESTS_FAULTY_STORE_H

#include "almondthread/ports.h"

#define FAULTY_CALLS_MAX 64u   /* open calls; further ones are not sent */
#define FAULTY_OBJECTS_MAX 32u /* object names */
#define FAULTY_CLIENTS_MAX 8u  /* ports, one for each client */

/* The outcome of a call. */
typedef enum faulty_outcome {
	FAULTY_DONE,           /* applied, with a response */
	FAULTY_DONE_DUPLICATE, /* as FAULTY_DONE: most calls succeed */
	FAULTY_NO_RESPONSE,    /* not applied yet; a put may be later */
	FAULTY_RESPONSE_LOST,  /* applied, but the response is lost */
	FAULTY_DELAYED,        /* applied; the response comes later */
	FAULTY_NOT_SENT,       /* certainly without effect */
	FAULTY_OUTCOME_COUNT
} faulty_outcome_t;

typedef struct faulty_object {
	char name[AT_NAME_SIZE];
	uint64_t version; /* 0: does not exist */
	uint8_t *value;
	size_t len;
} faulty_object_t;

typedef struct faulty_store faulty_store_t;

/*
 * faulty_store_new() returns an empty store, to be released by
 * faulty_store_delete(). Never returns NULL.
 */
faulty_store_t *faulty_store_new(void);
void faulty_store_delete(faulty_store_t *store);

/*
 * faulty_store_port() returns the port through which a client calls the store;
 * client is less than FAULTY_CLIENTS_MAX. Valid as long as the store.
 */
at_store_t faulty_store_port(faulty_store_t *store, unsigned client);

/*
 * faulty_store_set_outage() begins or ends an outage, in which no call is
 * applied; a call that was not applied before gets no response.
 */
void faulty_store_set_outage(faulty_store_t *store, int is_outage);
/*
 * faulty_store_set_paused() pauses or continues a client. Calls of a paused
 * client may be applied, but it gets its responses only afterwards.
 */
void faulty_store_set_paused(
    faulty_store_t *store, unsigned client, int is_paused);
/*
 * faulty_store_remove_client() drops the open calls of a client that has
 * crashed. Puts that were not applied stay and may be applied later.
 */
void faulty_store_remove_client(faulty_store_t *store, unsigned client);

/*
 * faulty_store_handle() handles the first open call at or after the index
 * start, modulo FAULTY_CALLS_MAX, with the given outcome. An outcome that is
 * not possible for the call is replaced: the response of a paused client is
 * delayed, and a call that was applied is not reported as not sent.
 */
void faulty_store_handle(
    faulty_store_t *store, unsigned start, faulty_outcome_t outcome);
/*
 * faulty_store_handle_all() does so for each call whose client waits for the
 * response, or only for puts.
 */
void faulty_store_handle_all(
    faulty_store_t *store, faulty_outcome_t outcome, int only_puts);
/*
 * faulty_store_apply_abandoned() applies the puts for whose response no client
 * waits any more; it has no effect during an outage.
 */
void faulty_store_apply_abandoned(faulty_store_t *store);

/*
 * faulty_store_objects() returns the objects, also deleted ones, and their
 * number. Valid until the next call of any function of the store.
 */
const faulty_object_t *faulty_store_objects(
    const faulty_store_t *store, size_t *count);

#endif
