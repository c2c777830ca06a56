/*
 * delta.h - the difference of two texts, for documents whose changes are
 * small. Texts are compared in pieces that end with '}', so that an entry of
 * a JSON array that moved is still found.
 */
#ifndef ALMONDTHREAD_DELTA_H
#define ALMONDTHREAD_DELTA_H

#include <stddef.h>
#include <stdint.h>

/* New bytes, followed by bytes of the base; either may be empty. */
typedef struct at_delta_part {
	const char *literal; /* borrowed */
	uint32_t literal_len;
	uint32_t offset; /* in the base */
	uint32_t length; /* copied from there */
} at_delta_part_t;

typedef struct at_delta {
	at_delta_part_t *parts;
	size_t count;
	uint64_t result_hash;
	uint32_t result_len;
} at_delta_t;

/*
 * at_delta_make() writes the parts that turn base into text. They borrow
 * from text, which must outlive them, and are freed by at_delta_clear().
 * Returns 0, or -1 without memory.
 */
int at_delta_make(at_delta_t *delta, const char *base, size_t base_len,
    const char *text, size_t text_len);
void at_delta_clear(at_delta_t *delta);

/*
 * at_delta_apply() returns the text that delta makes of base, NUL-terminated
 * and freed by the caller, with its length in *len. NULL when a part lies
 * outside the base, the length or hash is not the stated one, or there is no
 * memory.
 */
char *at_delta_apply(
    const at_delta_t *delta, const char *base, size_t base_len, size_t *len);

#endif
