#include "almondthread/keyring.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#define KEY_RANDOM_BYTES 24 /* random bytes in a key */

int
at_fleet_secret_parse(at_fleet_secret_t *secret, const char *hex)
{
	size_t len = 0;

	if (strlen(hex) != 2 * sizeof(secret->bytes))
		return -1;
	if (sodium_hex2bin(secret->bytes, sizeof(secret->bytes), hex,
		strlen(hex), NULL, &len, NULL) != 0)
		return -1;
	return len == sizeof(secret->bytes) ? 0 : -1;
}

void
at_key_hash(const at_fleet_secret_t *secret, const char *key,
    uint8_t hash[AT_KEY_HASH_SIZE])
{
	(void)crypto_generichash(hash, AT_KEY_HASH_SIZE,
	    (const unsigned char *)key, strlen(key), secret->bytes,
	    sizeof(secret->bytes));
}

void
at_key_generate(const at_fleet_secret_t *secret, const at_name_t *id,
    char key[AT_KEY_SIZE], uint8_t hash[AT_KEY_HASH_SIZE])
{
	unsigned char random_bytes[KEY_RANDOM_BYTES];
	char hex[2 * KEY_RANDOM_BYTES + 1];

	assert(strchr(id->text, '.') == NULL);
	randombytes_buf(random_bytes, sizeof(random_bytes));
	(void)sodium_bin2hex(
	    hex, sizeof(hex), random_bytes, sizeof(random_bytes));
	(void)snprintf(key, AT_KEY_SIZE, "%s.%s", id->text, hex);
	at_key_hash(secret, key, hash);
	sodium_memzero(random_bytes, sizeof(random_bytes));
	sodium_memzero(hex, sizeof(hex));
}

/*
 * Compares the hash with every key from its first slot to the next free one.
 * The position of the first slot reveals nothing about a stored key, because
 * the hash depends on the fleet's secret.
 */
const at_workspace_t *
at_key_find(
    const at_config_t *config, const at_fleet_secret_t *secret, const char *key)
{
	const char *separator = strchr(key, '.');
	size_t id_len = separator == NULL ? 0 : (size_t)(separator - key);
	const at_workspace_t *found = NULL;
	uint8_t hash[AT_KEY_HASH_SIZE];
	size_t i;

	if (id_len == 0 || id_len > AT_NAME_MAX || strlen(key) >= AT_KEY_SIZE ||
	    config->key_slots == NULL)
		return NULL;
	at_key_hash(secret, key, hash);
	memcpy(&i, hash, sizeof(i));
	for (i &= config->key_mask; config->key_slots[i].key != NULL;
	     i = (i + 1) & config->key_mask) {
		const at_key_slot_t *slot = &config->key_slots[i];
		int is_equal =
		    sodium_memcmp(slot->key->hash, hash, sizeof(hash)) == 0;

		if (is_equal && strncmp(slot->key->id.text, key, id_len) == 0 &&
		    slot->key->id.text[id_len] == '\0')
			found = slot->workspace;
	}
	return found;
}
