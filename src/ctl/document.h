/*
 * document.h - reads, edits and writes the configuration document for
 * almondctl. A document is read together with its version, changed in
 * memory, validated as a whole and written only if the platform still has
 * the version that was read. platform is an address, "IP:PORT".
 */
#ifndef ALMONDTHREAD_CTL_DOCUMENT_H
#define ALMONDTHREAD_CTL_DOCUMENT_H

#include <jansson.h>

#include "almondthread/status.h"
#include "almondthread/units.h"

typedef struct document {
	json_t *root;     /* owned; NULL if it could not be read */
	uint64_t version; /* of the platform's object; 0 if there is none */
} document_t;

/*
 * document_fetch() reads the document from the platform. Without a stored
 * document it returns AT_OK, an empty object and version 0. Returns
 * AT_UNAVAILABLE when the platform cannot be reached or responds with an
 * error, and AT_INVALID when the stored text is not JSON. The caller
 * releases the document, also after an error.
 */
at_code_t document_fetch(
    const char *platform, document_t *document, at_status_t *status);

/*
 * document_load() reads a file; the version is 0. Returns AT_INVALID with
 * the file, the line, the column and the cause when the file cannot be read
 * or is not a JSON object.
 */
at_code_t document_load(
    const char *file, document_t *document, at_status_t *status);

/*
 * document_validate() checks that the document is a valid configuration and
 * not larger than AT_VALUE_MAX_BYTES. source is the name of the document in
 * the message. Returns AT_OK or AT_INVALID.
 */
at_code_t document_validate(
    const document_t *document, const char *source, at_status_t *status);

/*
 * document_store() increments the document's generation, validates the
 * document and writes it if the platform still has document->version. When
 * the platform's response is lost, the stored document is read to find out
 * whether the write took effect.
 *
 * Returns AT_OK, AT_INVALID, AT_CONFLICT when another operator has changed
 * the configuration, or AT_UNAVAILABLE.
 */
at_code_t document_store(
    const char *platform, document_t *document, at_status_t *status);

/* document_generation() returns the field "generation", or 0 without one. */
uint64_t document_generation(const document_t *document);

/* Changes root in place. An error ends document_edit() without a write. */
typedef at_code_t (*document_edit_t)(
    json_t *root, void *ctx, at_status_t *status);

/*
 * document_edit() fetches the document, edits it and stores it. After a
 * conflict it repeats all three with the changed document, at most
 * EDIT_ATTEMPTS_MAX times, and then returns AT_CONFLICT. *generation is set
 * to the generation of the last attempt.
 */
at_code_t document_edit(const char *platform, document_edit_t edit, void *ctx,
    uint64_t *generation, at_status_t *status);

void document_free(document_t *document);

#endif
