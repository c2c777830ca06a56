/*
 * delta.h - difference of two texts, for documents that change little.
 *
 * Texts are compared in pieces that end with '}', so that a moved entry of a
 * JSON array is still found.
 */
#ifndef ALMONDTHREAD_DELTA_H
#define ALMONDTHREAD_DELTA_H

#include <stddef.h>
#include <stdint.h>

/* New bytes followed by a range of the base; either may be empty. */
typedef struct at_delta_part {
	const char *literal; /* borrowed */
	uint32_t literal_len;
	uint32_t offset; /* in the base */
	uint32_t length; /* bytes copied from that offset */
} at_delta_part_t;

typedef struct at_delta {
	at_delta_part_t *parts;
	size_t count;
	uint64_t result_hash;
	uint32_t result_len;
} at_delta_t;

/*
 * at_delta_make() computes the parts that turn base into text. They point into
 * text, which must outlive them, and are freed by at_delta_clear(). Returns 0,
 * or -1 if out of memory.
 */
int at_delta_make(at_delta_t *delta, const char *base, size_t base_len,
    const char *text, size_t text_len);
void at_delta_clear(at_delta_t *delta);

/*
 * at_delta_apply() returns the text that delta makes of base, NUL-terminated,
 * with its length in *len; the caller frees it. Returns NULL when a part is
 * outside the base, when the length or hash differs from the stated one, or if
 * out of memory.
 */
char *at_delta_apply(
    const at_delta_t *delta, const char *base, size_t base_len, size_t *len);

#endif
