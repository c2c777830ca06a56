/*
 * keyring.h - callers' keys. A key is "ID.SECRET"; the configuration has the
 * ID and a keyed hash of the whole key, never the key itself.
 */
#ifndef ALMONDTHREAD_KEYRING_H
#define ALMONDTHREAD_KEYRING_H

#include "almondthread/config.h"

#define AT_FLEET_SECRET_SIZE 32u /* bytes of the fleet's secret */
#define AT_KEY_SIZE 128u         /* bytes of a key's text, with the NUL */

/* The secret that all instances and operators share. */
typedef struct at_fleet_secret {
	uint8_t bytes[AT_FLEET_SECRET_SIZE];
} at_fleet_secret_t;

/* at_fleet_secret_parse() reads 64 hexadecimal digits. Returns 0, or -1. */
int at_fleet_secret_parse(at_fleet_secret_t *secret, const char *hex);

/* at_key_hash() computes the keyed hash of a key's text. */
void at_key_hash(const at_fleet_secret_t *secret, const char *key,
    uint8_t hash[AT_KEY_HASH_SIZE]);

/*
 * at_key_generate() generates a random key for id and writes its text and
 * hash. The text is shown once to the operator and is not stored.
 */
void at_key_generate(const at_fleet_secret_t *secret, const at_name_t *id,
    char key[AT_KEY_SIZE], uint8_t hash[AT_KEY_HASH_SIZE]);

/*
 * at_key_find() returns the workspace that a key belongs to, or NULL. Hashes
 * are compared in constant time.
 */
const at_workspace_t *at_key_find(const at_config_t *config,
    const at_fleet_secret_t *secret, const char *key);

#endif
