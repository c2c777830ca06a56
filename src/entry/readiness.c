#include "entry/readiness.h"

#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"

struct at_readiness {
	at_readiness_deps_t deps;
	at_httpd_t *checks;
	at_httpd_t *metrics; /* NULL: served on the address of the checks */
};

static void
reply_metrics(const at_readiness_deps_t *deps, at_httpd_request_t *request)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "text/plain; version=0.0.4"}, {NULL, NULL}};
	char *text;

	deps->set_values(deps->ctx);
	at_counters_set(deps->counters, "log_lines_suppressed", NULL, NULL,
	    at_log_suppressed_count());
	text = at_counters_format(deps->counters);
	if (text == NULL)
		at_httpd_reply(request, 503, NULL, "", 0);
	else
		at_httpd_reply(request, 200, headers, text, strlen(text));
	free(text);
}

static void
handle(void *ctx, at_httpd_request_t *request)
{
	const at_readiness_t *readiness = ctx;
	const char *path = at_httpd_path(request);

	if (strcmp(path, "/readyz") == 0)
		at_httpd_reply(request,
		    readiness->deps.is_ready(readiness->deps.ctx) ? 200 : 503,
		    NULL, "", 0);
	else if (strcmp(path, "/metrics") == 0)
		reply_metrics(&readiness->deps, request);
	else
		at_httpd_reply(request, 404, NULL, "", 0);
}

at_readiness_t *
at_readiness_new(const at_readiness_deps_t *deps)
{
	at_readiness_t *readiness = calloc(1, sizeof(*readiness));

	if (readiness == NULL)
		return NULL;
	readiness->deps = *deps;
	readiness->checks = at_httpd_new(deps->loop);
	if (readiness->checks == NULL) {
		free(readiness);
		return NULL;
	}
	at_httpd_set_handler(readiness->checks, handle, readiness);
	at_process_guard_add(
	    deps->guard, readiness->checks, AT_GUARD_OPERATORS);
	if (deps->settings->metrics[0] == '\0')
		return readiness;
	readiness->metrics = at_httpd_new(deps->loop);
	if (readiness->metrics == NULL)
		return readiness;
	at_httpd_set_handler(readiness->metrics, handle, readiness);
	at_process_guard_add(
	    deps->guard, readiness->metrics, AT_GUARD_OPERATORS);
	return readiness;
}

at_code_t
at_readiness_init(at_readiness_t *readiness, at_status_t *status)
{
	const at_entry_settings_t *s = readiness->deps.settings;

	if (at_httpd_init(readiness->checks, s->ready, status) != AT_OK)
		return status->code;
	if (readiness->metrics != NULL)
		return at_httpd_init(readiness->metrics, s->metrics, status);
	return AT_OK;
}

void
at_readiness_delete(at_readiness_t *readiness)
{
	if (readiness == NULL)
		return;
	at_httpd_delete(readiness->checks);
	at_httpd_delete(readiness->metrics);
	free(readiness);
}
