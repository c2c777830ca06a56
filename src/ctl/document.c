#include "ctl/document.h"

#include <stdlib.h>
#include <string.h>

#include "almondthread/config.h"
#include "ctl/client.h"

#define EDIT_TRIES 5
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
	client_answer_t answer;
	at_code_t code = client_call(
	    "GET", platform, OBJECT_PATH, NULL, NULL, 0, &answer, NULL, status);

	memset(document, 0, sizeof(*document));
	if (code != AT_OK) {
		client_answer_free(&answer);
		return code;
	}
	if (answer.http_status == 404) {
		document->root = json_object();
	} else if (answer.http_status == 200) {
		document->root = json_loadb(answer.body, answer.len, 0, NULL);
		document->version = answer.version;
	} else {
		code = at_status_set(status, AT_UNAVAILABLE,
		    "the platform answered %ld", answer.http_status);
	}
	client_answer_free(&answer);
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
		    status, AT_INVALID, "%s: expected an object", file);
	}
	return AT_OK;
}

at_code_t
document_validate(
    const document_t *document, const char *source, at_status_t *status)
{
	char *text = json_dumps(document->root, JSON_COMPACT);
	at_status_t inner;
	at_config_t *config;
	at_code_t code = AT_OK;

	at_status_clear(&inner);
	config = at_config_parse(text, strlen(text), &inner);
	if (config == NULL)
		code = at_status_set(
		    status, AT_INVALID, "%s: %.200s", source, inner.message);
	else if (strlen(text) > AT_VALUE_MAX_BYTES)
		code = at_status_set(status, AT_INVALID,
		    "%s: %zu bytes; expected at most %u", source, strlen(text),
		    AT_VALUE_MAX_BYTES);
	at_config_delete(config);
	free(text);
	return code;
}

/* The write's answer was lost: look whether ours is the one in force. */
static at_code_t
read_back(const char *platform, const document_t *own, at_status_t *status)
{
	document_t now;
	at_code_t code = document_fetch(platform, &now, status);

	if (code != AT_OK) {
		document_free(&now);
		return at_status_set(status, AT_UNAVAILABLE,
		    "the answer was lost; read the configuration before "
		    "trying again");
	}
	if (!json_equal(now.root, own->root))
		code = now.version == own->version
			   ? at_status_set(status, AT_UNAVAILABLE,
				 "the write did not take effect")
			   : at_status_set(status, AT_CONFLICT,
				 "somebody else changed the configuration");
	document_free(&now);
	return code;
}

at_code_t
document_store(const char *platform, document_t *document, at_status_t *status)
{
	uint64_t generation = document_generation(document) + 1;
	client_answer_t answer;
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
	    text, strlen(text), &answer, &sent, status);
	free(text);
	if (code != AT_OK)
		code = sent ? read_back(platform, document, status) : code;
	else if (answer.http_status == 409)
		code = at_status_set(status, AT_CONFLICT,
		    "somebody else changed the configuration");
	else if (answer.http_status != 200)
		code = at_status_set(status, AT_UNAVAILABLE,
		    "the platform answered %ld", answer.http_status);
	else
		document->version = answer.version;
	client_answer_free(&answer);
	return code;
}

at_code_t
document_edit(const char *platform, document_edit_t edit, void *ctx,
    uint64_t *generation, at_status_t *status)
{
	at_code_t code = AT_CONFLICT;
	int tries;

	for (tries = 0; tries < EDIT_TRIES && code == AT_CONFLICT; tries++) {
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
