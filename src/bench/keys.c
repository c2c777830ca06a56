#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "almondthread/config.h"
#include "almondthread/keyring.h"

#define LOOKUP_COUNT 20000
#define US_PER_S 1000000.0
#define DOCUMENT_MAX_BYTES (64u << 20)

/*
 * Processor time since start. Unlike wall-clock time it is not affected by
 * other processes.
 */
static double
cpu_time_us(clock_t start)
{
	return (double)(clock() - start) * US_PER_S / CLOCKS_PER_SEC;
}

/* Returns the contents of a file, to be freed by the caller, or NULL. */
static char *
read_file(const char *path, size_t *len)
{
	char *text = malloc(DOCUMENT_MAX_BYTES);
	FILE *file = fopen(path, "r");

	*len = 0;
	if (text != NULL && file != NULL)
		*len = fread(text, 1, DOCUMENT_MAX_BYTES, file);
	if (file != NULL)
		(void)fclose(file);
	return text;
}

static void
time_lookups(const at_config_t *config, const char *label, const char *key)
{
	at_fleet_secret_t secret = {{1}};
	clock_t start = clock();
	size_t found = 0;
	size_t i;

	for (i = 0; i < LOOKUP_COUNT; i++)
		found += at_key_find(config, &secret, key) != NULL;
	(void)printf("%-24s %8.2f us each, %zu found\n", label,
	    cpu_time_us(start) / LOOKUP_COUNT, found);
}

/* Measures parsing of --file and look-ups of a present and an absent key. */
int
bench_keys(int argc, char **argv)
{
	at_fleet_secret_t secret = {{1}};
	at_status_t status;
	at_config_t *config;
	at_workspace_t *workspace;
	char *text;
	size_t len;
	clock_t start;

	text = read_file(bench_option(argc, argv, "file", "/dev/stdin"), &len);
	at_status_clear(&status);
	if (text == NULL || sodium_init() < 0)
		return 1;
	start = clock();
	config = at_config_parse(text, len, &status);
	free(text);
	if (config == NULL || config->workspace_count == 0) {
		(void)fprintf(
		    stderr, "almond-bench keys: %s\n", status.message);
		at_config_delete(config);
		return 1;
	}
	(void)printf("%-24s %8.2f ms, %zu bytes\n", "parse",
	    cpu_time_us(start) / AT_MS_PER_S, len);
	workspace = &config->workspaces[config->workspace_count - 1];
	if (workspace->key_count > 0) {
		/* Replaces the hash of the last key by that of a known key. */
		at_key_t *key = &workspace->keys[workspace->key_count - 1];
		char present_key[AT_KEY_SIZE];

		(void)snprintf(present_key, sizeof(present_key), "%s.secret",
		    key->id.text);
		at_key_hash(&secret, present_key, key->hash);
		(void)at_config_index_keys(config);
		time_lookups(config, "a key that is present", present_key);
	}
	time_lookups(config, "a key that is absent", "none.secret");
	at_config_delete(config);
	return 0;
}
