#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#define HASH_MULTIPLIER 0x9e3779b97f4a7c15u /* varies the leading digits */
#define HASH_HEX_SIZE 65 /* hexadecimal digits of a key hash and the NUL */

/* Number of entries of each kind in the configuration. */
typedef struct target_size {
	long data_centres;
	long models;
	long adapters;
	long engines;
	long workspaces;
	long keys; /* of all workspaces together */
} target_size_t;

static long
option_number(int argc, char **argv, const char *name, const char *fallback)
{
	return strtol(bench_option(argc, argv, name, fallback), NULL, 10);
}

static json_t *
models_json(const target_size_t *size)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < size->models; i++)
		json_array_append_new(list,
		    json_pack("{s:o,s:i}", "name",
			json_sprintf("model-%04ld", i), "memory_mb", 16000));
	return list;
}

static json_t *
adapters_json(const target_size_t *size)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < size->adapters; i++)
		json_array_append_new(
		    list, json_pack("{s:o,s:o,s:i}", "name",
			      json_sprintf("adapter-%05ld", i), "model",
			      json_sprintf("model-%04ld", i % size->models),
			      "memory_mb", 200));
	return list;
}

static json_t *
engines_json(const target_size_t *size)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < size->engines; i++)
		json_array_append_new(
		    list, json_pack("{s:o,s:o,s:i,s:i}", "name",
			      json_sprintf("engine-%03ld", i), "data_centre",
			      json_sprintf("dc-%ld", i % size->data_centres),
			      "accelerators", 8, "memory_mb", 640000));
	return list;
}

static json_t *
keys_json(const target_size_t *size, long workspace)
{
	json_t *list = json_array();
	char hash[HASH_HEX_SIZE];
	long i;

	for (i = workspace; i < size->keys; i += size->workspaces) {
		(void)snprintf(hash, sizeof(hash), "%016llx%048lx",
		    (unsigned long long)(i + 1) * HASH_MULTIPLIER, i + 1);
		json_array_append_new(
		    list, json_pack("{s:o,s:s}", "id",
			      json_sprintf("key-%05ld", i), "hash", hash));
	}
	return list;
}

static json_t *
workspaces_json(const target_size_t *size)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < size->workspaces; i++)
		json_array_append_new(
		    list, json_pack("{s:o,s:i,s:i,s:o}", "name",
			      json_sprintf("workspace-%03ld", i),
			      "rate_tokens_s", 10000, "burst_tokens", 100000,
			      "keys", keys_json(size, i)));
	return list;
}

static json_t *
data_centres_json(const target_size_t *size)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < size->data_centres; i++)
		json_array_append_new(list, json_sprintf("dc-%ld", i));
	return list;
}

/*
 * Prints a configuration, by default of the size for which the system is
 * designed.
 */
int
bench_target(int argc, char **argv)
{
	const target_size_t size = {
	    .data_centres = option_number(argc, argv, "data-centres", "5"),
	    .models = option_number(argc, argv, "models", "1200"),
	    .adapters = option_number(argc, argv, "adapters", "4800"),
	    .engines = option_number(argc, argv, "engines", "610"),
	    .workspaces = option_number(argc, argv, "workspaces", "500"),
	    .keys = option_number(argc, argv, "keys", "5000")};
	json_t *root;

	if (size.data_centres < 1 || size.models < 1 || size.workspaces < 1)
		return 2;
	root = json_pack("{s:i,s:{},s:o,s:o,s:o,s:o,s:o}", "generation", 1,
	    "defaults", "data_centres", data_centres_json(&size), "workspaces",
	    workspaces_json(&size), "models", models_json(&size), "adapters",
	    adapters_json(&size), "engines", engines_json(&size));
	(void)json_dumpf(root, stdout, JSON_COMPACT);
	json_decref(root);
	return 0;
}
