/*
 * faulty_store.h - the object API in memory for stateful fuzzers: each call
 * waits until the fuzzer says what becomes of it. A put whose answer was
 * lost may still land, at any later time.
 */
#ifndef ALMONDTHREAD_TESTS_FAULTY_STORE_H
#define ALMONDTHREAD_TESTS_FAULTY_STORE_H

#include "almondthread/ports.h"

#define FAULTY_CALLS_MAX 64u   /* open at a time; more are not sent */
#define FAULTY_OBJECTS_MAX 32u /* names */
#define FAULTY_CLIENTS_MAX 8u

/* What becomes of a call. */
typedef enum faulty_outcome {
	FAULTY_DONE,           /* carried out and answered */
	FAULTY_DONE_DUPLICATE, /* the same: most calls go well */
	FAULTY_NO_RESPONSE,    /* no answer; a put may land later */
	FAULTY_RESPONSE_LOST,  /* carried out, no answer */
	FAULTY_DELAYED,        /* carried out, the answer still under way */
	FAULTY_NOT_SENT,       /* proved without effect */
	FAULTY_OUTCOME_COUNT
} faulty_outcome_t;

typedef struct faulty_object {
	char name[AT_NAME_SIZE];
	uint64_t version;
	uint8_t *value;
	size_t len;
} faulty_object_t;

typedef struct faulty_store faulty_store_t;

faulty_store_t *faulty_store_new(void);
void faulty_store_delete(faulty_store_t *store);

/* faulty_store_port() returns the port of one client. */
at_store_t faulty_store_port(faulty_store_t *store, unsigned client);

/* Nothing answers during an outage. */
void faulty_store_set_outage(faulty_store_t *store, int outage);
/* Calls of a paused client may be carried out; its answers wait. */
void faulty_store_set_paused(
    faulty_store_t *store, unsigned client, int paused);
/* faulty_store_remove_client() drops a dead client; its puts may still land. */
void faulty_store_remove_client(faulty_store_t *store, unsigned client);

/* faulty_store_handle() gives a fate to the first open call from start. */
void faulty_store_handle(
    faulty_store_t *store, unsigned start, faulty_outcome_t outcome);
/* Gives a fate to every call that is awaited, or only to puts. */
void faulty_store_handle_all(
    faulty_store_t *store, faulty_outcome_t outcome, int only_puts);
/* faulty_store_apply_abandoned() carries out what nobody awaits any more. */
void faulty_store_apply_abandoned(faulty_store_t *store);

/* faulty_store_objects() returns the objects and their number. */
const faulty_object_t *faulty_store_objects(
    const faulty_store_t *store, size_t *count);

#endif
