#include "entry/store/config_text.h"

#include <stdlib.h>
#include <string.h>

#include "almondthread/delta.h"

typedef struct text {
	char *json;
	size_t len;
	uint64_t version; /* of the object; 0: none */
} text_t;

struct at_config_text {
	text_t present;
	text_t previous;
	at_delta_t delta;
	ReportPart *parts;
	ReportPart **part_list;
};

at_config_text_t *
at_config_text_new(void)
{
	return calloc(1, sizeof(at_config_text_t));
}

static void
clear_delta(at_config_text_t *config)
{
	at_delta_clear(&config->delta);
	free(config->parts);
	free(config->part_list);
	config->parts = NULL;
	config->part_list = NULL;
}

void
at_config_text_delete(at_config_text_t *config)
{
	if (config == NULL)
		return;
	clear_delta(config);
	free(config->present.json);
	free(config->previous.json);
	free(config);
}

int
at_config_text_set(
    at_config_text_t *config, uint64_t version, const char *text, size_t len)
{
	clear_delta(config);
	free(config->previous.json);
	config->previous = config->present;
	memset(&config->present, 0, sizeof(config->present));
	config->present.json = strndup(text, len);
	if (config->present.json == NULL)
		return -1;
	config->present.len = len;
	config->present.version = version;
	return 0;
}

static int
allocate_parts(at_config_text_t *config)
{
	size_t count = config->delta.count == 0 ? 1 : config->delta.count;

	config->parts = calloc(count, sizeof(*config->parts));
	config->part_list = calloc(count, sizeof(ReportPart *));
	return config->parts == NULL || config->part_list == NULL ? -1 : 0;
}

size_t
at_config_text_fill(at_config_text_t *config, ReportServer *message)
{
	size_t i;

	clear_delta(config);
	if (config->previous.json == NULL || config->present.json == NULL ||
	    at_delta_make(&config->delta, config->previous.json,
		config->previous.len, config->present.json,
		config->present.len) != 0 ||
	    allocate_parts(config) != 0)
		return 0;
	for (i = 0; i < config->delta.count; i++) {
		const at_delta_part_t *source = &config->delta.parts[i];
		ReportPart *part = &config->parts[i];

		report_part__init(part);
		part->literal.data = (uint8_t *)(uintptr_t)source->literal;
		part->literal.len = source->literal_len;
		part->offset = source->offset;
		part->length = source->length;
		config->part_list[i] = part;
	}
	message->base_version = config->previous.version;
	message->n_parts = config->delta.count;
	message->parts = config->part_list;
	message->result_hash = config->delta.result_hash;
	message->result_len = config->delta.result_len;
	return report_server__get_packed_size(message);
}

uint64_t
at_config_text_version(const at_config_text_t *config)
{
	return config->present.version;
}

int
at_config_text_fill_since(
    at_config_text_t *config, uint64_t have, ReportServer *message)
{
	if (config->present.json == NULL || have == config->present.version)
		return -1;
	message->version = config->present.version;
	if (have == 0 || have != config->previous.version ||
	    at_config_text_fill(config, message) == 0)
		message->spec = config->present.json;
	return 0;
}

char *
at_config_text_apply(
    const at_config_text_t *config, const ReportServer *message)
{
	at_delta_t delta = {.count = message->n_parts,
	    .result_hash = message->result_hash,
	    .result_len = message->result_len};
	char *text;
	size_t len;
	size_t i;

	if (config->present.json == NULL ||
	    message->base_version != config->present.version)
		return NULL;
	delta.parts = calloc(delta.count + 1, sizeof(*delta.parts));
	if (delta.parts == NULL)
		return NULL;
	for (i = 0; i < delta.count; i++) {
		const ReportPart *part = message->parts[i];

		delta.parts[i].literal = (const char *)part->literal.data;
		delta.parts[i].literal_len = (uint32_t)part->literal.len;
		delta.parts[i].offset = part->offset;
		delta.parts[i].length = part->length;
	}
	text = at_delta_apply(
	    &delta, config->present.json, config->present.len, &len);
	free(delta.parts);
	return text;
}
