/*
 * request_header.h - what a caller states about its request in the headers.
 *
 * Pointers are borrowed from the request and valid as long as it is.
 */
#ifndef ALMONDTHREAD_REQUEST_HEADER_H
#define ALMONDTHREAD_REQUEST_HEADER_H

#include "almondthread/fleet.h"

typedef struct at_request_header {
	const char *id;           /* the caller's id of the request, or NULL */
	const char *host;         /* "" when none was sent */
	const char *key;          /* the caller's key, or NULL */
	const char *resume_after; /* last event of a stream, or NULL */
	const char *resumes;      /* id of its first request, or NULL */
	int has_deadline;
	uint32_t deadline_ms; /* time the caller will wait */
	at_name_t model;      /* empty: no model is requested */
	at_name_t adapter;    /* empty: the base model */
	int has_token_counts; /* the next two fields were sent */
	uint32_t prompt_tokens;
	uint32_t output_max_tokens;
	uint32_t output_hint_tokens; /* the caller's estimate; 0: none */
	const char *prompt;          /* all parts, as sent; NULL: not sent */
	/* The first parts of the prompt. */
	at_prefix_part_t prefix[AT_PREFIX_PARTS_MAX];
	size_t prefix_count;
} at_request_header_t;

/*
 * at_request_header_model_tag() returns the tag of "model/adapter", or of
 * the model when no adapter is requested.
 */
at_tag_t at_request_header_model_tag(const at_request_header_t *header);

#endif
