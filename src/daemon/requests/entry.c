#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "almondthread/bucket.h"
#include "daemon/requests/admission.h"
#include "daemon/claims/claims_io.h"
#include "daemon/jobs/jobs_io.h"

#define BEARER_PREFIX "Bearer "
#define NO_RETRY_AFTER 0u
#define BYTES_PER_TOKEN 4u /* rough average of a prompt */
/* Of jansson, for a number in an array that grows. */
#define PARSED_VALUE_BYTES 64u

static void
refuse(at_node_t *node, at_httpd_request_t *request, at_reason_t reason)
{
	at_refuse(node, request, reason, AT_VERDICT_NOT_RUN, NO_RETRY_AFTER);
}

/* Returns the API key in the request, or NULL. */
static const char *
request_key(const at_httpd_request_t *request)
{
	const char *value = at_httpd_header(request, "Authorization");

	if (value == NULL ||
	    strncasecmp(value, BEARER_PREFIX, strlen(BEARER_PREFIX)) != 0)
		return NULL;
	return value + strlen(BEARER_PREFIX);
}

/*
 * Returns whether the configuration is recent enough for its keys to be
 * accepted.
 */
static int
has_current_keys(const at_node_t *node)
{
	const at_defaults_t *defaults = &node->config->defaults;

	return defaults->cut_off_keys == AT_CUT_OFF_SERVE ||
	       at_config_io_age_ms(node->config_io) <=
		   defaults->key_staleness_ms;
}

/* Returns the caller's workspace, or refuses the request and returns NULL. */
static const at_workspace_t *
authenticate(at_node_t *node, at_httpd_request_t *request)
{
	const char *key = request_key(request);
	const at_workspace_t *workspace;

	if (key == NULL) {
		refuse(node, request, AT_REASON_MISSING_KEY);
		return NULL;
	}
	if (!has_current_keys(node)) {
		at_refuse(node, request, AT_REASON_KEY_UNCHECKED,
		    AT_VERDICT_NOT_RUN, AT_MS_PER_S);
		return NULL;
	}
	workspace = at_key_find(node->config, &node->secret, key);
	if (workspace == NULL)
		refuse(node, request, AT_REASON_UNKNOWN_KEY);
	return workspace;
}

static int
can_use_adapter(const at_adapter_t *adapter, const at_workspace_t *workspace)
{
	return adapter->workspace.text[0] == '\0' ||
	       at_name_equal(&adapter->workspace, &workspace->name);
}

static void
add_model(json_t *list, const char *name)
{
	json_array_append_new(
	    list, json_pack("{s:s,s:s,s:s}", "id", name, "object", "model",
		      "owned_by", "almondthread"));
}

static void
list_models(at_node_t *node, at_httpd_request_t *request)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "application/json"}, {NULL, NULL}};
	const at_workspace_t *workspace = authenticate(node, request);
	const at_config_t *config = node->config;
	json_t *list;
	json_t *root;
	char *text;
	size_t i;

	if (workspace == NULL)
		return;
	list = json_array();
	for (i = 0; i < config->model_count; i++)
		add_model(list, config->models[i].name.text);
	for (i = 0; i < config->adapter_count; i++) {
		if (can_use_adapter(&config->adapters[i], workspace))
			add_model(list, config->adapters[i].name.text);
	}
	root = json_pack("{s:s,s:o}", "object", "list", "data", list);
	text = json_dumps(root, JSON_COMPACT);
	at_httpd_reply(request, 200, headers, text, strlen(text));
	free(text);
	json_decref(root);
}

static void
show_job(at_node_t *node, at_httpd_request_t *request)
{
	const at_workspace_t *workspace;

	if (strcmp(at_httpd_method(request), "GET") != 0) {
		refuse(node, request, AT_REASON_WRONG_METHOD);
		return;
	}
	workspace = authenticate(node, request);
	if (workspace != NULL)
		at_jobs_io_show(node->jobs, request, &workspace->name);
}

static void
set_body(at_exchange_spec_t *spec, at_httpd_request_t *request)
{
	spec->body = at_httpd_body(request, &spec->body_len);
	spec->shared_body = at_httpd_shared_body(request);
}

/* Returns why a workspace may not use a model, or AT_REASON_NONE. */
static at_reason_t
check_model(const at_config_t *config, const at_workspace_t *workspace,
    const char *name)
{
	const at_adapter_t *adapter;

	if (at_config_find_model(config, name) != NULL)
		return AT_REASON_NONE;
	adapter = at_config_find_adapter(config, name);
	if (adapter == NULL)
		return AT_REASON_UNKNOWN_MODEL;
	if (!can_use_adapter(adapter, workspace))
		return AT_REASON_NOT_PERMITTED;
	return AT_REASON_NONE;
}

/*
 * Returns the tokens of the prompt and the largest number of tokens that the
 * request can generate.
 */
static uint64_t
compute_max_tokens(const at_config_t *config, const char *model,
    const json_t *root, size_t prompt_tokens)
{
	const json_t *requested = json_object_get(root, "max_tokens");
	uint64_t generated = at_config_exception_value(config,
	    AT_EXCEPTION_MAX_TOKENS, model, config->defaults.max_tokens);

	if (json_is_integer(requested) && json_integer_value(requested) >= 0)
		generated = (uint64_t)json_integer_value(requested);
	if (generated > AT_LIMIT_TOKENS_MAX)
		generated = AT_LIMIT_TOKENS_MAX;
	return prompt_tokens + generated;
}

/* Runs a completion that was admitted. */
static void
run_completion(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec)
{
	if (spec->stream || !at_jobs_io_is_job(request, spec))
		at_exchange_start(node, request, spec);
	else
		at_jobs_io_submit(node->jobs, request, spec, spec->path);
}

/* Runs a request of a route that was admitted. */
static void
run_route(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec)
{
	int wrong_method;
	const at_route_t *route = at_config_find_route(
	    node->config, spec->path, spec->method, &wrong_method);

	/* The configuration may have changed while the request waited. */
	if (route == NULL)
		refuse(node, request, AT_REASON_UNKNOWN_ROUTE);
	else if (at_jobs_io_is_job(request, spec))
		at_jobs_io_submit(node->jobs, request, spec, route->path);
	else
		at_claims_io_start(node->claims, request, spec, route);
}

static void
start_completion(at_node_t *node, at_httpd_request_t *request,
    const at_workspace_t *workspace, json_t *root)
{
	const char *model = json_string_value(json_object_get(root, "model"));
	at_exchange_spec_t spec = {.kind = AT_INSTANCE_ENGINE,
	    .target = model,
	    .workspace = workspace->name.text,
	    .method = "POST",
	    .path = at_httpd_path(request),
	    .content_type = "application/json",
	    .repeat = AT_REPEAT_ANY,
	    .deadline_ms = node->config->defaults.deadline_ms,
	    .stream = json_is_true(json_object_get(root, "stream"))};
	at_reason_t reason;

	if (model == NULL) {
		refuse(node, request, AT_REASON_BAD_REQUEST);
		return;
	}
	reason = check_model(node->config, workspace, model);
	if (reason != AT_REASON_NONE) {
		refuse(node, request, reason);
		return;
	}
	set_body(&spec, request);
	at_placement_io_add_demand(node->placement, model,
	    compute_max_tokens(
		node->config, model, root, spec.body_len / BYTES_PER_TOKEN));
	/* Each token of the prompt takes at least one byte of the body. */
	at_admission_start(node, request, &spec,
	    compute_max_tokens(node->config, model, root, spec.body_len),
	    run_completion);
}

/*
 * A value of one digit takes many times its size once it is parsed. Returns
 * non-zero if there is memory for it.
 */
static int
has_room_to_parse(const at_node_t *node, const char *body, size_t len)
{
	at_memory_claim_t claim = {.kind = AT_MEMORY_RESPONSES};
	size_t values = 1;
	size_t i;

	if (len <= AT_MEMORY_SMALL_BYTES)
		return 1;
	for (i = 0; i < len; i++)
		values += body[i] == ',' || body[i] == '[' || body[i] == '{' ||
			  body[i] == ':';
	claim.bytes = len + values * PARSED_VALUE_BYTES;
	claim.total = claim.bytes;
	return at_memory_fits(&node->guard.memory, &claim);
}

static void
handle_completion(at_node_t *node, at_httpd_request_t *request)
{
	const at_workspace_t *workspace;
	const char *body;
	size_t len;
	json_t *root;

	if (strcmp(at_httpd_method(request), "POST") != 0) {
		refuse(node, request, AT_REASON_WRONG_METHOD);
		return;
	}
	workspace = authenticate(node, request);
	if (workspace == NULL)
		return;
	body = at_httpd_body(request, &len);
	if (!has_room_to_parse(node, body, len)) {
		at_refuse(node, request, AT_REASON_NO_MEMORY,
		    AT_VERDICT_NOT_RUN, AT_MS_PER_S);
		return;
	}
	root = json_loadb(body, len, 0, NULL);
	if (json_is_object(root))
		start_completion(node, request, workspace, root);
	else
		refuse(node, request, AT_REASON_BAD_JSON);
	json_decref(root);
}

static void
handle_route(at_node_t *node, at_httpd_request_t *request)
{
	int wrong_method;
	const at_route_t *route = at_config_find_route(node->config,
	    at_httpd_path(request), at_httpd_method(request), &wrong_method);
	const at_workspace_t *workspace = NULL;
	at_exchange_spec_t spec = {.kind = AT_INSTANCE_SERVICE,
	    .method = at_httpd_method(request),
	    .path = at_httpd_path(request),
	    .workspace = "",
	    .content_type = at_httpd_header(request, "Content-Type"),
	    .idempotency_key = at_httpd_header(request, "Idempotency-Key")};

	if (route == NULL) {
		refuse(node, request,
		    wrong_method ? AT_REASON_WRONG_METHOD
				 : AT_REASON_UNKNOWN_ROUTE);
		return;
	}
	if (!route->is_public) {
		workspace = authenticate(node, request);
		if (workspace == NULL)
			return;
		spec.workspace = workspace->name.text;
	}
	spec.target = route->service.text;
	spec.repeat = route->repeat;
	spec.priority = route->priority;
	spec.deadline_ms = route->deadline_ms != 0
			       ? route->deadline_ms
			       : node->config->defaults.deadline_ms;
	set_body(&spec, request);
	at_admission_start(node, request, &spec, route->cost_tokens, run_route);
}

void
at_entry_handle_fault(void *ctx, at_httpd_request_t *request)
{
	at_node_t *node = ctx;

	at_counters_add(node->counters, "requests_total", NULL, NULL, 1);
	at_refuse(node, request, at_httpd_fault_reason(request),
	    AT_VERDICT_NOT_RUN, at_httpd_retry_after_ms(request));
}

void
at_entry_classify(
    void *ctx, const at_httpd_request_t *request, at_httpd_class_t *class)
{
	const at_node_t *node = ctx;
	const char *key = request_key(request);
	const at_workspace_t *workspace = NULL;

	if (node->config != NULL && key != NULL)
		workspace = at_key_find(node->config, &node->secret, key);
	if (workspace != NULL)
		class->owner = XXH3_64bits(workspace->name.text,
				   strlen(workspace->name.text)) |
			       1u;
}

void
at_entry_handle(void *ctx, at_httpd_request_t *request)
{
	at_node_t *node = ctx;
	const char *path = at_httpd_path(request);

	at_counters_add(node->counters, "requests_total", NULL, NULL, 1);
	if (node->config == NULL) {
		at_refuse(node, request, AT_REASON_NO_CONFIG,
		    AT_VERDICT_NOT_RUN, AT_MS_PER_S);
		return;
	}
	if (strcmp(path, "/v1/models") == 0) {
		if (strcmp(at_httpd_method(request), "GET") != 0)
			refuse(node, request, AT_REASON_WRONG_METHOD);
		else
			list_models(node, request);
	} else if (strncmp(path, AT_JOBS_PATH, strlen(AT_JOBS_PATH)) == 0) {
		show_job(node, request);
	} else if (strcmp(path, "/v1/chat/completions") == 0 ||
		   strcmp(path, "/v1/completions") == 0) {
		handle_completion(node, request);
	} else {
		handle_route(node, request);
	}
}
