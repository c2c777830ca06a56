#include "daemon/requests/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "almondthread/log.h"
#include "io/clock.h"

static const char *
error_type(int status)
{
	if (status == 401)
		return "authentication_error";
	if (status == 403)
		return "permission_error";
	if (status == 429)
		return "rate_limit_error";
	return status < 500 ? "invalid_request_error" : "server_error";
}

void
at_refuse(at_node_t *node, at_httpd_request_t *request, at_reason_t reason,
    at_verdict_t verdict, uint32_t retry_after_ms)
{
	int status = at_reason_status(reason);
	char retry_after[16];
	at_header_t headers[] = {{"Content-Type", "application/json"},
	    {"X-Request-Id", at_httpd_id(request)},
	    {"X-Verdict", at_verdict_names[verdict]}, {NULL, NULL},
	    {NULL, NULL}};
	json_t *body = json_pack("{s:{s:s,s:s,s:s,s:s,s:s,s:I}}", "error",
	    "message", at_reason_text(reason), "type", error_type(status),
	    "code", at_reason_names[reason], "reason", at_reason_names[reason],
	    "verdict", at_verdict_names[verdict], "retry_after_ms",
	    (json_int_t)retry_after_ms);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	if (retry_after_ms > 0) {
		(void)snprintf(retry_after, sizeof(retry_after), "%u",
		    (retry_after_ms + AT_MS_PER_S - 1) / AT_MS_PER_S);
		headers[3].name = "Retry-After";
		headers[3].value = retry_after;
	}
	at_counters_add_refusal(node->counters, reason);
	at_history_add(node->history, at_httpd_id(request),
	    at_httpd_path(request), reason, verdict, at_clock_now_ms());
	at_log(AT_LOG_DEBUG, "entry", at_httpd_id(request),
	    "Request refused: %s, verdict %s.", at_reason_names[reason],
	    at_verdict_names[verdict]);
	if (text != NULL)
		at_httpd_reply(request, status, headers, text, strlen(text));
	free(text);
}
