#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#define SPREAD 0x9e3779b97f4a7c15u /* makes hashes differ at the front */
#define HASH_HEX_SIZE 65           /* hexadecimal digits of a key's hash, NUL */

/* How many entries of each kind the document gets. */
typedef struct target {
	long data_centres;
	long models;
	long adapters;
	long engines;
	long workspaces;
	long keys; /* in all */
} target_t;

static long
number(int argc, char **argv, const char *name, const char *fallback)
{
	return strtol(bench_option(argc, argv, name, fallback), NULL, 10);
}

static json_t *
models_json(const target_t *t)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < t->models; i++)
		json_array_append_new(list,
		    json_pack("{s:o,s:i}", "name",
			json_sprintf("model-%04ld", i), "memory_mb", 16000));
	return list;
}

static json_t *
adapters_json(const target_t *t)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < t->adapters; i++)
		json_array_append_new(
		    list, json_pack("{s:o,s:o,s:i}", "name",
			      json_sprintf("adapter-%05ld", i), "model",
			      json_sprintf("model-%04ld", i % t->models),
			      "memory_mb", 200));
	return list;
}

static json_t *
engines_json(const target_t *t)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < t->engines; i++)
		json_array_append_new(
		    list, json_pack("{s:o,s:o,s:i,s:i}", "name",
			      json_sprintf("engine-%03ld", i), "data_centre",
			      json_sprintf("dc-%ld", i % t->data_centres),
			      "accelerators", 8, "memory_mb", 640000));
	return list;
}

static json_t *
keys_json(const target_t *t, long workspace)
{
	json_t *list = json_array();
	char hash[HASH_HEX_SIZE];
	long i;

	for (i = workspace; i < t->keys; i += t->workspaces) {
		(void)snprintf(hash, sizeof(hash), "%016llx%048lx",
		    (unsigned long long)(i + 1) * SPREAD, i + 1);
		json_array_append_new(
		    list, json_pack("{s:o,s:s}", "id",
			      json_sprintf("key-%05ld", i), "hash", hash));
	}
	return list;
}

static json_t *
workspaces_json(const target_t *t)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < t->workspaces; i++)
		json_array_append_new(
		    list, json_pack("{s:o,s:i,s:i,s:o}", "name",
			      json_sprintf("workspace-%03ld", i),
			      "rate_tokens_s", 10000, "burst_tokens", 100000,
			      "keys", keys_json(t, i)));
	return list;
}

static json_t *
data_centres_json(const target_t *t)
{
	json_t *list = json_array();
	long i;

	for (i = 0; i < t->data_centres; i++)
		json_array_append_new(list, json_sprintf("dc-%ld", i));
	return list;
}

/* Prints a configuration of the size that is designed for. */
int
bench_target(int argc, char **argv)
{
	const target_t t = {
	    .data_centres = number(argc, argv, "data-centres", "5"),
	    .models = number(argc, argv, "models", "1200"),
	    .adapters = number(argc, argv, "adapters", "4800"),
	    .engines = number(argc, argv, "engines", "610"),
	    .workspaces = number(argc, argv, "workspaces", "500"),
	    .keys = number(argc, argv, "keys", "5000")};
	json_t *root;

	if (t.data_centres < 1 || t.models < 1 || t.workspaces < 1)
		return 2;
	root = json_pack("{s:i,s:{},s:o,s:o,s:o,s:o,s:o}", "generation", 1,
	    "defaults", "data_centres", data_centres_json(&t), "workspaces",
	    workspaces_json(&t), "models", models_json(&t), "adapters",
	    adapters_json(&t), "engines", engines_json(&t));
	(void)json_dumpf(root, stdout, JSON_COMPACT);
	json_decref(root);
	return 0;
}
