/*
 * document.h - the configuration document as operators edit it: read with
 * its version, changed in memory, validated whole and written back only over
 * the version that was read.
 */
#ifndef ALMONDTHREAD_CTL_DOCUMENT_H
#define ALMONDTHREAD_CTL_DOCUMENT_H

#include <jansson.h>

#include "almondthread/status.h"
#include "almondthread/units.h"

typedef struct document {
	json_t *root;     /* owned */
	uint64_t version; /* of the platform's object; 0 before the first */
} document_t;

/* document_fetch() reads the one in force; an empty one when none is. */
at_code_t document_fetch(
    const char *platform, document_t *document, at_status_t *status);

/* document_load() reads a file; the message names file, place and cause. */
at_code_t document_load(
    const char *file, document_t *document, at_status_t *status);

/* document_validate() checks the whole; source names it in the message. */
at_code_t document_validate(
    const document_t *document, const char *source, at_status_t *status);

/*
 * document_store() gives the document the next generation, validates it and
 * writes it over document->version. A lost answer is resolved by reading
 * back. Returns AT_CONFLICT when somebody else wrote first.
 */
at_code_t document_store(
    const char *platform, document_t *document, at_status_t *status);

/* document_generation() returns the generation that the document names. */
uint64_t document_generation(const document_t *document);

/* An edit returns AT_OK, or an error to stop with. */
typedef at_code_t (*document_edit_t)(
    json_t *root, void *ctx, at_status_t *status);

/*
 * document_edit() fetches, edits and stores; after a conflict it begins
 * again with what the other operator wrote, a bounded number of times.
 */
at_code_t document_edit(const char *platform, document_edit_t edit, void *ctx,
    uint64_t *generation, at_status_t *status);

void document_free(document_t *document);

#endif
