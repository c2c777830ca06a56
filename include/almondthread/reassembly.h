/*
 * reassembly.h - puts a document together from parts that arrive in any order,
 * more than once or not at all. Nothing of it is used before all of it is there
 * and its hash is right.
 *
 * One document is put together at a time: a newer one takes the place of an
 * older one, and another of the same version that of one without progress.
 * Without I/O or clock.
 */
#ifndef ALMONDTHREAD_REASSEMBLY_H
#define ALMONDTHREAD_REASSEMBLY_H

#include <stddef.h>
#include <stdint.h>

#define AT_PART_BYTES 8192u              /* of all parts but the last */
#define AT_DOCUMENT_MAX_BYTES (8u << 20) /* a longer document is refused */
#define AT_REASSEMBLY_STALL_MS 200u      /* without a new part: no progress */
#define AT_REASSEMBLY_MISSING_MAX 64u    /* missing parts that are stated */

/* A part of a document. */
typedef struct at_part {
	uint64_t document; /* hash of the whole */
	uint64_t version;  /* a higher one is newer */
	uint64_t base;     /* version that it is a difference to; 0: none */
	uint32_t total;    /* bytes of the whole */
	uint32_t offset;   /* a multiple of AT_PART_BYTES */
	const uint8_t *data;
	size_t len;
} at_part_t;

typedef enum at_part_result {
	AT_PART_TAKEN,
	AT_PART_COMPLETE, /* taken, and the document is complete */
	AT_PART_KNOWN,    /* it was there */
	AT_PART_IGNORED,  /* of an older document, or of another one */
	AT_PART_INVALID   /* out of range, or the hash is wrong */
} at_part_result_t;

typedef struct at_reassembly at_reassembly_t;

/* at_reassembly_new() returns NULL if out of memory. */
at_reassembly_t *at_reassembly_new(void);
void at_reassembly_delete(at_reassembly_t *reassembly);
/* at_document_hash() names a document by what is in it. */
uint64_t at_document_hash(const uint8_t *data, size_t len);
/* at_reassembly_add() takes a part. */
at_part_result_t at_reassembly_add(
    at_reassembly_t *reassembly, const at_part_t *part, uint64_t now_ms);
/*
 * at_reassembly_take() returns the complete document, which the caller frees,
 * and its version and base. To be called once after AT_PART_COMPLETE.
 */
uint8_t *at_reassembly_take(at_reassembly_t *reassembly, size_t *len,
    uint64_t *version, uint64_t *base);
/*
 * at_reassembly_missing() returns the document that is being put together, 0
 * for none, and the offsets of the first parts that it lacks.
 */
uint64_t at_reassembly_missing(const at_reassembly_t *reassembly,
    uint32_t offsets[AT_REASSEMBLY_MISSING_MAX], size_t *count);
/* at_reassembly_version() returns the version of that document, or 0. */
uint64_t at_reassembly_version(const at_reassembly_t *reassembly);

#endif
