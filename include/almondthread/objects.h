/*
 * objects.h - port for lists and watches of the platform's objects of one
 * kind. Single objects are read and written through at_store_t (ports.h),
 * where an object's name is "KIND/NAME".
 *
 * Each call completes exactly once through its callback, on the same thread
 * and never before the call returns, unless it is cancelled.
 */
#ifndef ALMONDTHREAD_OBJECTS_H
#define ALMONDTHREAD_OBJECTS_H

#include "almondthread/units.h"

/* How a list or watch ended. */
typedef enum at_objects_code {
	AT_OBJECTS_OK,
	AT_OBJECTS_HISTORY_GONE, /* list again before watching */
	AT_OBJECTS_REFUSED,      /* the platform responded with an error */
	AT_OBJECTS_NO_RESPONSE,  /* no complete response arrived */
	AT_OBJECTS_CODE_COUNT
} at_objects_code_t;

extern const char *const at_objects_code_names[];

/* One object; its pointers are valid only during the callback. */
typedef struct at_object {
	const char *name;
	uint64_t version; /* of its last change */
	int is_deleted;   /* in a watch: it no longer exists */
	/*
	 * What its owner wrote, which may be no JSON; without a NUL at the end.
	 * NULL if there is nothing.
	 */
	const char *text;
	size_t len;
} at_object_t;

/* A page of a list, or the changes of a watch. */
typedef struct at_objects_page {
	at_objects_code_t code;
	const at_object_t *objects;
	size_t count;
	int has_more;           /* the list continues after the last object */
	uint64_t store_version; /* the version of the store that this shows */
} at_objects_page_t;

typedef void (*at_objects_done_t)(void *ctx, const at_objects_page_t *page);

typedef struct at_objects_call at_objects_call_t;

/* Lists and watches. after is NULL for the first page. */
typedef struct at_objects {
	at_objects_call_t *(*list)(void *impl, const char *kind,
	    const char *after, at_objects_done_t done, void *ctx);
	at_objects_call_t *(*watch)(void *impl, const char *kind,
	    uint64_t since, uint32_t wait_ms, at_objects_done_t done,
	    void *ctx);
	void (*cancel)(void *impl, at_objects_call_t *call);
	void *impl;
} at_objects_t;

#endif
