#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "almondthread/log.h"
#include "daemon/claims/claims_io.h"
#include "daemon/jobs/jobs_impl.h"
#include "io/clock.h"

#define CLAIM_TIMEOUT_MS 1500u  /* longest wait for a claim */
#define HTTP_STATUS_RETRIED 500 /* lowest status that is retried */

/* A job that is running. */
struct job_task {
	job_task_t *next;
	job_task_t *prev;
	at_jobs_io_t *io;
	at_claim_hash_t id;
	char id_text[AT_JOB_ID_SIZE];
	json_t *header; /* owns the texts in spec */
	char *body;
	at_exchange_spec_t spec;
	at_claim_t *claim; /* granted claim, or NULL */
};

static void
task_free(job_task_t *t)
{
	DL_DELETE(t->io->tasks, t);
	json_decref(t->header);
	free(t->body);
	free(t);
}

void
job_tasks_free(at_jobs_io_t *io)
{
	while (io->tasks != NULL)
		task_free(io->tasks);
}

static void
retry(job_task_t *t)
{
	at_jobs_retry(t->io->jobs, &t->id);
	task_free(t);
}

static void
finish(job_task_t *t, at_job_state_t state, int status, const char *type,
    const void *body, size_t body_len)
{
	json_t *header =
	    json_pack("{s:s,s:i,s:s}", "workspace", t->spec.workspace, "status",
		status, "type", type == NULL ? "application/json" : type);
	size_t len;
	char *data;

	if (body_len > AT_JOB_RECORD_MAX_BYTES / 2)
		body_len = 0;
	data = job_format_data(header, body, body_len, &len);
	if (data == NULL) {
		retry(t);
		return;
	}
	at_log(AT_LOG_INFO, "jobs", t->id_text,
	    "Job ended: %s, HTTP status %d.", at_job_state_names[state],
	    status);
	at_jobs_finish(t->io->jobs, &t->id, state, data, len);
	free(data);
	task_free(t);
}

static void
on_done(void *ctx, const at_exchange_end_t *end)
{
	job_task_t *t = ctx;
	int runs_once = t->spec.repeat == AT_REPEAT_ONCE;

	if (t->claim != NULL)
		at_claims_io_note_ended(t->io->node->claims, t->claim, end);
	if (end->verdict == AT_VERDICT_RAN &&
	    (runs_once || end->http_status < HTTP_STATUS_RETRIED))
		finish(t, AT_JOB_DONE, end->http_status, end->content_type,
		    end->body, end->body_len);
	else if (runs_once && end->verdict != AT_VERDICT_NOT_RUN)
		finish(t, AT_JOB_MAY_HAVE_RUN, 0, NULL, "", 0);
	else
		retry(t);
}

static void
run_request(job_task_t *t)
{
	t->spec.on_done = on_done;
	t->spec.done_ctx = t;
	t->spec.request_id = t->id_text;
	at_exchange_start(t->io->node, NULL, &t->spec);
}

/* Ends a job that ran before with the response stored in the ledger. */
static void
finish_stored(job_task_t *t, const at_claim_result_t *result)
{
	at_exchange_end_t end;

	(void)at_claims_io_response(result, &end);
	finish(t, AT_JOB_DONE, end.http_status, end.content_type, end.body,
	    end.body_len);
}

static void
on_claim(void *ctx, at_claim_t *claim, const at_claim_result_t *result)
{
	job_task_t *t = ctx;

	switch (result->outcome) {
	case AT_CLAIM_GRANTED:
		t->claim = claim;
		run_request(t);
		return;
	case AT_CLAIM_COMPLETED:
		finish_stored(t, result);
		return;
	case AT_CLAIM_IN_FLIGHT:
		/* The claimant ended without storing how the request ended. */
		if (result->retry_after_ms == 0)
			finish(t, AT_JOB_MAY_HAVE_RUN, 0, NULL, "", 0);
		else
			retry(t);
		return;
	default:
		retry(t);
		return;
	}
}

/* A job with a key has the same claim as an identical direct request. */
static void
request_claim(job_task_t *t)
{
	const char *route =
	    json_string_value(json_object_get(t->header, "route"));
	at_claim_hash_t key;
	at_claim_hash_t digest;

	if (t->spec.idempotency_key[0] == '\0')
		t->spec.idempotency_key = t->id_text;
	at_claims_io_hash(&t->spec, route, &key, &digest);
	if (at_claims_request(at_claims_io_ledger(t->io->node->claims), &key,
		&digest, CLAIM_TIMEOUT_MS, on_claim, t) == NULL) {
		retry(t);
		return;
	}
	at_claims_io_wake(t->io->node->claims);
}

static const char *
get_text(const json_t *header, const char *field)
{
	const char *text = json_string_value(json_object_get(header, field));

	return text == NULL ? "" : text;
}

static void
parse_spec(job_task_t *t, size_t body_len)
{
	const json_t *h = t->header;

	t->spec.kind =
	    (at_instance_kind_t)json_integer_value(json_object_get(h, "kind"));
	t->spec.target = get_text(h, "target");
	t->spec.workspace = get_text(h, "workspace");
	t->spec.method = get_text(h, "method");
	t->spec.path = get_text(h, "path");
	t->spec.content_type = get_text(h, "type");
	t->spec.idempotency_key = get_text(h, "key");
	t->spec.repeat =
	    (at_repeat_t)json_integer_value(json_object_get(h, "repeat"));
	t->spec.deadline_ms =
	    (uint32_t)json_integer_value(json_object_get(h, "deadline_ms"));
	t->spec.priority = AT_PRIORITY_OVERNIGHT;
	t->spec.body = t->body;
	t->spec.body_len = body_len;
}

static job_task_t *
task_new(at_jobs_io_t *io, const at_claim_hash_t *id, json_t *header,
    const char *body, size_t len)
{
	job_task_t *t = calloc(1, sizeof(*t));

	if (t != NULL)
		t->body = malloc(len + 1);
	if (t == NULL || t->body == NULL) {
		free(t);
		return NULL;
	}
	memcpy(t->body, body, len);
	t->io = io;
	t->id = *id;
	at_job_id_format(id, t->id_text);
	t->header = json_incref(header);
	parse_spec(t, len);
	DL_PREPEND(io->tasks, t);
	return t;
}

void
job_run(void *ctx, const at_claim_hash_t *id, const at_job_record_t *record)
{
	at_jobs_io_t *io = ctx;
	job_task_t *t = NULL;
	const char *body = NULL;
	size_t len = 0;
	json_t *header = job_parse_data(record, &body, &len);

	if (header != NULL && io->node->config != NULL)
		t = task_new(io, id, header, body, len);
	json_decref(header);
	if (t == NULL)
		at_jobs_retry(io->jobs, id);
	else if (t->spec.repeat == AT_REPEAT_ONCE)
		request_claim(t);
	else
		run_request(t);
}
