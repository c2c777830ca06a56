#include "almondthread/keyring.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#define SECRET_PART_BYTES 24 /* of chance in a key */

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
at_key_make(const at_fleet_secret_t *secret, const at_name_t *id,
    char key[AT_KEY_SIZE], uint8_t hash[AT_KEY_HASH_SIZE])
{
	unsigned char chance[SECRET_PART_BYTES];
	char hex[2 * SECRET_PART_BYTES + 1];

	assert(strchr(id->text, '.') == NULL);
	randombytes_buf(chance, sizeof(chance));
	(void)sodium_bin2hex(hex, sizeof(hex), chance, sizeof(chance));
	(void)snprintf(key, AT_KEY_SIZE, "%s.%s", id->text, hex);
	at_key_hash(secret, key, hash);
	sodium_memzero(chance, sizeof(chance));
	sodium_memzero(hex, sizeof(hex));
}

const at_workspace_t *
at_key_find(
    const at_config_t *config, const at_fleet_secret_t *secret, const char *key)
{
	const char *dot = strchr(key, '.');
	size_t id_len = dot == NULL ? 0 : (size_t)(dot - key);
	uint8_t hash[AT_KEY_HASH_SIZE];
	size_t w;
	size_t k;

	if (id_len == 0 || id_len > AT_NAME_MAX || strlen(key) >= AT_KEY_SIZE)
		return NULL;
	at_key_hash(secret, key, hash);
	for (w = 0; w < config->workspace_count; w++) {
		const at_workspace_t *workspace = &config->workspaces[w];

		for (k = 0; k < workspace->key_count; k++) {
			const at_key_t *own = &workspace->keys[k];

			if (strncmp(own->id.text, key, id_len) != 0 ||
			    own->id.text[id_len] != '\0')
				continue;
			if (sodium_memcmp(own->hash, hash, sizeof(hash)) == 0)
				return workspace;
		}
	}
	return NULL;
}
