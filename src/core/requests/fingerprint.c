/* fingerprint.c - keyed hashes that identify requests (suspects.h). */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "almondthread/suspects.h"

#define HEX_BASE 16

at_fingerprint_t
at_fingerprint_make(const uint8_t *secret, size_t secret_len,
    const char *target, const void *body, size_t body_len)
{
	XXH64_hash_t seed = XXH3_64bits(secret, secret_len);
	XXH64_hash_t target_hash =
	    XXH3_64bits_withSeed(target, strlen(target), seed);
	XXH128_hash_t hash = XXH3_128bits_withSeed(body, body_len, target_hash);
	at_fingerprint_t fingerprint = {hash.high64, hash.low64};

	return fingerprint;
}

void
at_fingerprint_format(
    const at_fingerprint_t *fingerprint, char text[AT_FINGERPRINT_TEXT_SIZE])
{
	(void)snprintf(text, AT_FINGERPRINT_TEXT_SIZE,
	    "%016" PRIx64 "%016" PRIx64, fingerprint->high, fingerprint->low);
}

int
at_fingerprint_parse(at_fingerprint_t *fingerprint, const char *text)
{
	char half[AT_FINGERPRINT_TEXT_SIZE / 2 + 1];
	size_t half_len = sizeof(half) - 1;

	if (strlen(text) != 2 * half_len ||
	    strspn(text, "0123456789abcdef") != 2 * half_len)
		return -1;
	memcpy(half, text, half_len);
	half[half_len] = '\0';
	fingerprint->high = strtoull(half, NULL, HEX_BASE);
	fingerprint->low = strtoull(text + half_len, NULL, HEX_BASE);
	return 0;
}
