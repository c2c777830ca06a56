#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "daemon/requests/crashes.h"
#include "daemon/limits/limits_io.h"
#include "daemon/node/explain.h"
#include "daemon/node/peers_status.h"

static void
reply_text(at_httpd_request_t *request, int status, const char *text)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "text/plain; version=0.0.4"}, {NULL, NULL}};

	at_httpd_reply(request, status, headers, text, strlen(text));
}

static void
reply_metrics(at_node_t *node, at_httpd_request_t *request)
{
	char *text;

	at_counters_set(node->counters, "open_requests", NULL, NULL,
	    at_httpd_open_requests(node->callers));
	at_counters_set(node->counters, "buffered_bytes", NULL, NULL,
	    at_httpd_buffered_bytes(node->callers));
	at_process_guard_count(&node->guard, node->counters);
	text = at_counters_format(node->counters);
	reply_text(request, text == NULL ? 500 : 200, text == NULL ? "" : text);
	free(text);
}

static void
add_backend(void *ctx, at_backend_t *backend)
{
	json_t *list = ctx;

	json_array_append_new(list,
	    json_pack("{s:s,s:s,s:s,s:s,s:b,s:i,s:i,s:i}", "name",
		backend->instance.name.text, "kind",
		at_instance_kind_names[backend->instance.kind], "data_centre",
		backend->instance.data_centre.text, "address",
		backend->instance.address, "leaving",
		backend->instance.is_leaving, "outstanding",
		(int)backend->outstanding, "failures", (int)backend->failures,
		"resident", (int)backend->view.resident_count));
}

static void
reply_status(at_node_t *node, at_httpd_request_t *request)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "application/json"}, {NULL, NULL}};
	uint64_t age_ms = at_platform_age_ms(node->platform);
	json_t *list = json_array();
	json_t *root = json_pack("{s:s,s:s,s:s,s:I,s:I,s:o,s:o,s:o}", "name",
	    node->self.instance.text, "data_centre", node->data_centre.text,
	    "state", at_node_state_names[node->state], "generation",
	    (json_int_t)(node->config == NULL ? 0 : node->config->generation),
	    "platform_age_ms",
	    age_ms == UINT64_MAX ? (json_int_t)-1 : (json_int_t)age_ms,
	    "placement", at_placement_io_status(node->placement), "backends",
	    list, "suspects", at_crashes_list(node));
	char *text;

	at_backends_each(node->backends, add_backend, list);
	at_peers_status_add(node, root);
	json_object_set_new(root, "shares", at_limits_status(node->limits));
	text = json_dumps(root, JSON_COMPACT);
	at_httpd_reply(request, 200, headers, text, strlen(text));
	free(text);
	json_decref(root);
}

static void
lift_suspect(at_node_t *node, at_httpd_request_t *request)
{
	const char *text = at_httpd_argument(request, "fingerprint");

	if (strcmp(at_httpd_method(request), "POST") != 0)
		reply_text(request, 405, "expected POST\n");
	else if (at_crashes_lift(node, text) != 0)
		reply_text(request, 404, "no such fingerprint\n");
	else
		reply_text(request, 200, "lifted\n");
}

void
at_operators_handle(void *ctx, at_httpd_request_t *request)
{
	at_node_t *node = ctx;
	const char *path = at_httpd_path(request);
	int ready = at_node_is_ready(node);

	if (strcmp(path, "/metrics") == 0)
		reply_metrics(node, request);
	else if (strcmp(path, "/healthz") == 0)
		reply_text(request, 200, "ok\n");
	else if (strcmp(path, "/readyz") == 0)
		reply_text(request, ready ? 200 : 503,
		    ready ? "ready\n" : "not ready\n");
	else if (strcmp(path, "/suspects/lift") == 0)
		lift_suspect(node, request);
	else if (strcmp(path, "/status") == 0)
		reply_status(node, request);
	else if (strcmp(path, "/explain") == 0)
		at_explain_handle(node, request);
	else
		reply_text(request, 404, "no such path\n");
}
