/*
 * request_header.h - what a caller says of its request before the body.
 *
 * Pointers are lent by the request and live as long as it.
 */
#ifndef ALMONDTHREAD_REQUEST_HEADER_H
#define ALMONDTHREAD_REQUEST_HEADER_H

#include "almondthread/fleet.h"

typedef struct at_request_header {
	const char *id;           /* of this request; NULL: none was sent */
	const char *host;         /* "" when none was sent */
	const char *key;          /* the caller's key, or NULL */
	const char *resume_after; /* last event the caller has, or NULL */
	uint32_t deadline_ms;     /* that the caller will wait; 0: not said */
	at_name_t model;          /* empty: none is asked for */
	at_name_t adapter;        /* empty: the model itself */
	int has_token_counts;     /* the next two were sent */
	uint32_t prompt_tokens;
	uint32_t output_max_tokens;
	uint32_t output_hint_tokens; /* the caller's guess; 0: none */
	at_prefix_part_t prefix[AT_PREFIX_PARTS_MAX];
	size_t prefix_count;
} at_request_header_t;

/* The tag of "model/adapter", or of the model without an adapter. */
at_tag_t at_request_header_model_tag(const at_request_header_t *head);

#endif
