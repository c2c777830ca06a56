#include "ctl/document.h"

#include <stdlib.h>
#include <string.h>

#include "almondthread/config.h"
#include "ctl/client.h"

#define EDIT_ATTEMPTS_MAX 5 /* when other operators write concurrently */
#define OBJECT_PATH "/v1/objects/" AT_CONFIG_OBJECT

void
document_free(document_t *document)
{
	json_decref(document->root);
	document->root = NULL;
}

uint64_t
document_generation(const document_t *document)
{
	return (uint64_t)json_integer_value(
	    json_object_get(document->root, "generation"));
}

at_code_t
document_fetch(const char *platform, document_t *document, at_status_t *status)
{
	client_response_t response;
	at_code_t code = client_call("GET", platform, OBJECT_PATH, NULL, NULL,
	    0, &response, NULL, status);

	memset(document, 0, sizeof(*document));
	if (code != AT_OK) {
		client_response_free(&response);
		return code;
	}
	if (response.http_status == 404) {
		document->root = json_object();
	} else if (response.http_status == 200) {
		document->root =
		    json_loadb(response.body, response.len, 0, NULL);
		document->version = response.version;
	} else {
		code = at_status_set(status, AT_UNAVAILABLE,
		    "the platform returned HTTP %ld", response.http_status);
	}
	client_response_free(&response);
	if (code == AT_OK && document->root == NULL)
		code = at_status_set(status, AT_INVALID,
		    "the stored configuration is not valid JSON");
	return code;
}

at_code_t
document_load(const char *file, document_t *document, at_status_t *status)
{
	json_error_t error;

	memset(document, 0, sizeof(*document));
	document->root = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
	if (document->root == NULL)
		return at_status_set(status, AT_INVALID,
		    "%s: line %d, column %d: %s", file, error.line,
		    error.column, error.text);
	if (!json_is_object(document->root)) {
		document_free(document);
		return at_status_set(
		    status, AT_INVALID, "%s: expected a JSON object", file);
	}
	return AT_OK;
}

at_code_t
document_validate(
    const document_t *document, const char *source, at_status_t *status)
{
	char *text = json_dumps(document->root, JSON_COMPACT);
	at_status_t parse_status;
	at_config_t *config;
	at_code_t code = AT_OK;

	at_status_clear(&parse_status);
	config = at_config_parse(text, strlen(text), &parse_status);
	if (config == NULL)
		code = at_status_set(status, AT_INVALID, "%s: %.200s", source,
		    parse_status.message);
	else if (strlen(text) > AT_VALUE_MAX_BYTES)
		code = at_status_set(status, AT_INVALID,
		    "%s: the configuration has %zu bytes; expected at most %u",
		    source, strlen(text), AT_VALUE_MAX_BYTES);
	at_config_delete(config);
	free(text);
	return code;
}

/*
 * Finds out whether a write took effect whose response was lost: compares
 * the stored document with the written one.
 */
static at_code_t
confirm_write(
    const char *platform, const document_t *written, at_status_t *status)
{
	document_t current;
	at_code_t code = document_fetch(platform, &current, status);

	if (code != AT_OK) {
		document_free(&current);
		return at_status_set(status, AT_UNAVAILABLE,
		    "the platform's response to the write was lost; run "
		    "'almondctl get' before trying again");
	}
	if (!json_equal(current.root, written->root))
		code =
		    current.version == written->version
			? at_status_set(status, AT_UNAVAILABLE,
			      "the write did not take effect")
			: at_status_set(status, AT_CONFLICT,
			      "another operator has changed the configuration");
	document_free(&current);
	return code;
}

at_code_t
document_store(const char *platform, document_t *document, at_status_t *status)
{
	uint64_t generation = document_generation(document) + 1;
	client_response_t response;
	int sent = 0;
	char *text;
	at_code_t code;

	json_object_set_new(
	    document->root, "generation", json_integer((json_int_t)generation));
	code = document_validate(document, "configuration", status);
	if (code != AT_OK)
		return code;
	text = json_dumps(document->root, JSON_COMPACT);
	code = client_call("PUT", platform, OBJECT_PATH, &document->version,
	    text, strlen(text), &response, &sent, status);
	free(text);
	if (code != AT_OK)
		code = sent ? confirm_write(platform, document, status) : code;
	else if (response.http_status == 409)
		code = at_status_set(status, AT_CONFLICT,
		    "another operator has changed the configuration");
	else if (response.http_status != 200)
		code = at_status_set(status, AT_UNAVAILABLE,
		    "the platform returned HTTP %ld", response.http_status);
	else
		document->version = response.version;
	client_response_free(&response);
	return code;
}

at_code_t
document_edit(const char *platform, document_edit_t edit, void *ctx,
    uint64_t *generation, at_status_t *status)
{
	at_code_t code = AT_CONFLICT;
	int attempts;

	for (attempts = 0; attempts < EDIT_ATTEMPTS_MAX && code == AT_CONFLICT;
	     attempts++) {
		document_t document;

		at_status_clear(status);
		code = document_fetch(platform, &document, status);
		if (code == AT_OK)
			code = edit(document.root, ctx, status);
		if (code == AT_OK)
			code = document_store(platform, &document, status);
		*generation = document_generation(&document);
		document_free(&document);
	}
	return code;
}
