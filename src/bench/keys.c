#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "almondthread/config.h"
#include "almondthread/keyring.h"

#define LOOKUPS 20000
#define US_PER_S 1000000.0
#define TEXT_MAX (64u << 20) /* bytes of a document */

/* Processor time, so that other work on the machine does not count. */
static double
used_us(clock_t since)
{
	return (double)(clock() - since) * US_PER_S / CLOCKS_PER_SEC;
}

static char *
read_file(const char *path, size_t *len)
{
	char *text = malloc(TEXT_MAX);
	FILE *in = fopen(path, "r");

	*len = 0;
	if (text != NULL && in != NULL)
		*len = fread(text, 1, TEXT_MAX, in);
	if (in != NULL)
		(void)fclose(in);
	return text;
}

static void
time_lookups(const at_config_t *config, const char *what, const char *key)
{
	at_fleet_secret_t secret = {{1}};
	clock_t began = clock();
	size_t found = 0;
	size_t i;

	for (i = 0; i < LOOKUPS; i++)
		found += at_key_find(config, &secret, key) != NULL;
	(void)printf("%-24s %8.2f us each, %zu found\n", what,
	    used_us(began) / LOOKUPS, found);
}

/* Times parsing of --file and look-ups of a present and an absent key. */
int
bench_keys(int argc, char **argv)
{
	at_fleet_secret_t secret = {{1}};
	at_status_t status;
	at_config_t *config;
	at_workspace_t *last;
	char *text;
	size_t len;
	clock_t began;

	text = read_file(bench_option(argc, argv, "file", "/dev/stdin"), &len);
	at_status_clear(&status);
	if (text == NULL || sodium_init() < 0)
		return 1;
	began = clock();
	config = at_config_parse(text, len, &status);
	free(text);
	if (config == NULL || config->workspace_count == 0) {
		(void)fprintf(stderr, "almond-bench: %s\n", status.message);
		at_config_delete(config);
		return 1;
	}
	(void)printf("%-24s %8.2f ms, %zu bytes\n", "parse",
	    used_us(began) / AT_MS_PER_S, len);
	last = &config->workspaces[config->workspace_count - 1];
	if (last->key_count > 0) {
		/* A real key in place of the last one's hash. */
		at_key_t *key = &last->keys[last->key_count - 1];
		char known[AT_KEY_SIZE];

		(void)snprintf(known, sizeof(known), "%s.secret", key->id.text);
		at_key_hash(&secret, known, key->hash);
		(void)at_config_index_keys(config);
		time_lookups(config, "a key that is present", known);
	}
	time_lookups(config, "a key that is absent", "none.secret");
	at_config_delete(config);
	return 0;
}
