#include "entry/readiness.h"

#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"

struct at_ready {
	at_entry_t *entry;
	at_httpd_t *checks;
	at_httpd_t *metrics; /* NULL: no address of its own */
};

static void
reply_metrics(const at_entry_t *entry, at_httpd_request_t *request)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "text/plain; version=0.0.4"}, {NULL, NULL}};
	char *text;

	at_counters_set(
	    entry->counters, "open_requests", NULL, NULL, entry->call_count);
	at_counters_set(entry->counters, "waiting_requests", NULL, NULL,
	    at_wait_queue_count(entry->waiting));
	at_counters_set(entry->counters, "backend_servers", NULL, NULL,
	    at_fleet_count(entry->fleet));
	at_counters_set(entry->counters, "config_version", NULL, NULL,
	    entry->site == NULL ? 0 : entry->site->version);
	at_counters_set(entry->counters, "log_lines_suppressed", NULL, NULL,
	    at_log_suppressed_count());
	text = at_counters_format(entry->counters);
	if (text == NULL)
		at_httpd_reply(request, 503, NULL, "", 0);
	else
		at_httpd_reply(request, 200, headers, text, strlen(text));
	free(text);
}

static void
handle(void *ctx, at_httpd_request_t *request)
{
	const at_ready_t *ready = ctx;
	const char *path = at_httpd_path(request);

	if (strcmp(path, "/readyz") == 0)
		at_httpd_reply(request,
		    at_entry_is_ready(ready->entry) ? 200 : 503, NULL, "", 0);
	else if (strcmp(path, "/metrics") == 0)
		reply_metrics(ready->entry, request);
	else
		at_httpd_reply(request, 404, NULL, "", 0);
}

at_ready_t *
at_ready_new(at_entry_t *entry)
{
	at_ready_t *ready = calloc(1, sizeof(*ready));

	if (ready == NULL)
		return NULL;
	ready->entry = entry;
	ready->checks = at_httpd_new(entry->loop);
	if (ready->checks == NULL) {
		free(ready);
		return NULL;
	}
	at_httpd_set_handler(ready->checks, handle, ready);
	if (entry->settings.metrics[0] == '\0')
		return ready;
	ready->metrics = at_httpd_new(entry->loop);
	if (ready->metrics != NULL)
		at_httpd_set_handler(ready->metrics, handle, ready);
	return ready;
}

at_code_t
at_ready_init(at_ready_t *ready, at_status_t *status)
{
	const at_entry_settings_t *s = &ready->entry->settings;

	if (at_httpd_init(ready->checks, s->ready, status) != AT_OK)
		return status->code;
	if (ready->metrics != NULL)
		return at_httpd_init(ready->metrics, s->metrics, status);
	return AT_OK;
}

void
at_ready_delete(at_ready_t *ready)
{
	if (ready == NULL)
		return;
	at_httpd_delete(ready->checks);
	at_httpd_delete(ready->metrics);
	free(ready);
}
