#include "daemon/node/explain.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "io/clock.h"

static void
reply_json(at_httpd_request_t *request, int status, json_t *root)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "application/json"}, {NULL, NULL}};
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	if (text == NULL)
		return;
	at_httpd_reply(request, status, headers, text, strlen(text));
	free(text);
}

static void
explain_request(at_node_t *node, at_httpd_request_t *request, const char *id)
{
	const at_history_entry_t *entry = at_history_find(node->history, id);

	if (entry == NULL) {
		reply_json(request, 404,
		    json_pack("{s:s}", "error",
			"no refusal of this request is kept here"));
		return;
	}
	reply_json(request, 200,
	    json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:I}", "request", entry->id,
		"path", entry->path, "reason", at_reason_names[entry->reason],
		"verdict", at_verdict_names[entry->verdict], "text",
		at_reason_text(entry->reason), "status",
		at_reason_status(entry->reason), "age_ms",
		(json_int_t)(at_clock_now_ms() - entry->refused_at_ms)));
}

typedef struct resident_engines {
	const char *model;
	json_t *list;
} resident_engines_t;

static void
add_resident_engine(void *ctx, at_backend_t *backend)
{
	resident_engines_t *engines = ctx;

	if (backend->instance.kind != AT_INSTANCE_ENGINE ||
	    !at_engine_view_is_serving(&backend->view, engines->model))
		return;
	json_array_append_new(engines->list,
	    json_pack("{s:s,s:s,s:b}", "engine", backend->instance.name.text,
		"data_centre", backend->instance.data_centre.text, "leaving",
		backend->instance.is_leaving));
}

/* Returns a new array of the exceptions for a model, with their reasons. */
static json_t *
list_exceptions(const at_config_t *config, const char *model)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < config->exception_count; i++) {
		const at_exception_t *exception = &config->exceptions[i];

		if (strcmp(exception->subject.text, model) != 0)
			continue;
		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:I,s:s}", "kind",
			      at_exception_kind_names[exception->kind],
			      "engine", exception->engine.text, "value",
			      (json_int_t)exception->value, "reason",
			      exception->reason));
	}
	return list;
}

static void
explain_model(at_node_t *node, at_httpd_request_t *request, const char *model)
{
	resident_engines_t engines = {model, NULL};

	if (node->config == NULL ||
	    (at_config_find_model(node->config, model) == NULL &&
		at_config_find_adapter(node->config, model) == NULL)) {
		reply_json(request, 404,
		    json_pack("{s:s}", "error",
			"no such model or adapter is configured"));
		return;
	}
	engines.list = json_array();
	at_backends_each(node->backends, add_resident_engine, &engines);
	reply_json(request, 200,
	    json_pack("{s:s,s:o,s:o,s:o}", "model", model, "resident_on",
		engines.list, "exceptions",
		list_exceptions(node->config, model), "placement",
		at_placement_io_explain(node->placement, model)));
}

void
at_explain_handle(at_node_t *node, at_httpd_request_t *request)
{
	const char *id = at_httpd_argument(request, "request");
	const char *model = at_httpd_argument(request, "model");

	if (id != NULL)
		explain_request(node, request, id);
	else if (model != NULL)
		explain_model(node, request, model);
	else
		reply_json(request, 400,
		    json_pack("{s:s}", "error",
			"expected ?request=ID or ?model=NAME"));
}
