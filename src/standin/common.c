#include "standin/standin.h"

#include <stdlib.h>
#include <string.h>

typedef struct fault_field {
	const char *name;
	size_t offset;
} fault_field_t;

#define FAULT(field)                                      \
	{                                                 \
#field, offsetof(standin_faults_t, field) \
	}

static const fault_field_t fault_fields[] = {FAULT(outage), FAULT(delay_ms),
    FAULT(lose_replies), FAULT(silent), FAULT(crash), FAULT(truncate_after),
    FAULT(crossed), FAULT(reject_resumed), FAULT(pause_after), FAULT(pause_ms),
    FAULT(break_whole), FAULT(shorten), FAULT(token_us), FAULT(refuse),
    FAULT(lose_orders), FAULT(late_orders_ms), FAULT(silent_old),
    FAULT(crash_part), FAULT(limit_milli), FAULT(work_ms), FAULT(room),
    FAULT(brittle), FAULT(leaving), FAULT(pause_reply_ms),
    FAULT(repeat_refusal), FAULT(cold_max)};

void
standin_faults_update(standin_faults_t *faults, json_t *object)
{
	size_t i;

	for (i = 0; i < sizeof(fault_fields) / sizeof(fault_fields[0]); i++) {
		json_t *value = json_object_get(object, fault_fields[i].name);
		char *field = (char *)faults + fault_fields[i].offset;
		uint32_t number = (uint32_t)json_integer_value(value);

		if (json_is_integer(value))
			memcpy(field, &number, sizeof(number));
	}
}

void
standin_reply_json(at_httpd_request_t *request, int status, json_t *object)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "application/json"}, {NULL, NULL}};
	char *text = json_dumps(object, JSON_COMPACT);

	at_httpd_reply(request, status, headers, text, strlen(text));
	free(text);
	json_decref(object);
}

const char *
standin_json_text(json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text == NULL ? "" : text;
}

uint64_t
standin_json_number(json_t *object, const char *field, uint64_t fallback)
{
	json_t *value = json_object_get(object, field);

	return json_is_integer(value) ? (uint64_t)json_integer_value(value)
				      : fallback;
}
