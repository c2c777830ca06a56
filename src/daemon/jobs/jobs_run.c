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
task_free(job_task_t *task)
{
	DL_DELETE(task->io->tasks, task);
	json_decref(task->header);
	free(task->body);
	free(task);
}

void
job_tasks_free(at_jobs_io_t *io)
{
	while (io->tasks != NULL)
		task_free(io->tasks);
}

static void
retry(job_task_t *task)
{
	at_jobs_retry(task->io->jobs, &task->id);
	task_free(task);
}

static void
finish(job_task_t *task, at_job_state_t state, int status, const char *type,
    const void *body, size_t body_len)
{
	json_t *header = json_pack("{s:s,s:i,s:s}", "workspace",
	    task->spec.workspace, "status", status, "type",
	    type == NULL ? "application/json" : type);
	size_t len;
	char *data;

	if (body_len > AT_JOB_RECORD_MAX_BYTES / 2)
		body_len = 0;
	data = job_format_data(header, body, body_len, &len);
	if (data == NULL) {
		retry(task);
		return;
	}
	at_log(AT_LOG_INFO, "jobs", task->id_text,
	    "Job ended: %s, HTTP status %d.", at_job_state_names[state],
	    status);
	at_jobs_finish(task->io->jobs, &task->id, state, data, len);
	free(data);
	task_free(task);
}

static void
on_done(void *ctx, const at_exchange_end_t *end)
{
	job_task_t *task = ctx;
	int runs_once = task->spec.repeat == AT_REPEAT_ONCE;

	if (task->claim != NULL)
		at_claims_io_note_ended(
		    task->io->node->claims, task->claim, end);
	if (end->verdict == AT_VERDICT_RAN &&
	    (runs_once || end->http_status < HTTP_STATUS_RETRIED))
		finish(task, AT_JOB_DONE, end->http_status, end->content_type,
		    end->body, end->body_len);
	else if (runs_once && end->verdict != AT_VERDICT_NOT_RUN)
		finish(task, AT_JOB_MAY_HAVE_RUN, 0, NULL, "", 0);
	else
		retry(task);
}

static void
run_request(job_task_t *task)
{
	task->spec.on_done = on_done;
	task->spec.done_ctx = task;
	task->spec.request_id = task->id_text;
	at_exchange_start(task->io->node, NULL, &task->spec);
}

/* Ends a job that ran before with the response stored in the ledger. */
static void
finish_stored(job_task_t *task, const at_claim_result_t *result)
{
	at_exchange_end_t end;

	(void)at_claims_io_response(result, &end);
	finish(task, AT_JOB_DONE, end.http_status, end.content_type, end.body,
	    end.body_len);
}

static void
on_claim(void *ctx, at_claim_t *claim, const at_claim_result_t *result)
{
	job_task_t *task = ctx;

	switch (result->outcome) {
	case AT_CLAIM_GRANTED:
		task->claim = claim;
		run_request(task);
		return;
	case AT_CLAIM_COMPLETED:
		finish_stored(task, result);
		return;
	case AT_CLAIM_IN_FLIGHT:
		/* The claimant ended without storing how the request ended. */
		if (result->retry_after_ms == 0)
			finish(task, AT_JOB_MAY_HAVE_RUN, 0, NULL, "", 0);
		else
			retry(task);
		return;
	default:
		retry(task);
		return;
	}
}

/* A job with a key has the same claim as an identical direct request. */
static void
request_claim(job_task_t *task)
{
	const char *route =
	    json_string_value(json_object_get(task->header, "route"));
	at_claim_hash_t key;
	at_claim_hash_t digest;

	if (task->spec.idempotency_key[0] == '\0')
		task->spec.idempotency_key = task->id_text;
	at_claims_io_hash(&task->spec, route, &key, &digest);
	if (at_claims_request(at_claims_io_ledger(task->io->node->claims), &key,
		&digest, CLAIM_TIMEOUT_MS, on_claim, task) == NULL) {
		retry(task);
		return;
	}
	at_claims_io_wake(task->io->node->claims);
}

static const char *
get_text(const json_t *header, const char *field)
{
	const char *text = json_string_value(json_object_get(header, field));

	return text == NULL ? "" : text;
}

static void
parse_spec(job_task_t *task, size_t body_len)
{
	const json_t *header = task->header;

	task->spec.kind = (at_instance_kind_t)json_integer_value(
	    json_object_get(header, "kind"));
	task->spec.target = get_text(header, "target");
	task->spec.workspace = get_text(header, "workspace");
	task->spec.method = get_text(header, "method");
	task->spec.path = get_text(header, "path");
	task->spec.content_type = get_text(header, "type");
	task->spec.idempotency_key = get_text(header, "key");
	task->spec.repeat =
	    (at_repeat_t)json_integer_value(json_object_get(header, "repeat"));
	task->spec.deadline_ms = (uint32_t)json_integer_value(
	    json_object_get(header, "deadline_ms"));
	task->spec.priority = AT_PRIORITY_OVERNIGHT;
	task->spec.body = task->body;
	task->spec.body_len = body_len;
}

static job_task_t *
task_new(at_jobs_io_t *io, const at_claim_hash_t *id, json_t *header,
    const char *body, size_t len)
{
	job_task_t *task = calloc(1, sizeof(*task));

	if (task != NULL)
		task->body = malloc(len + 1);
	if (task == NULL || task->body == NULL) {
		free(task);
		return NULL;
	}
	memcpy(task->body, body, len);
	task->io = io;
	task->id = *id;
	at_job_id_format(id, task->id_text);
	task->header = json_incref(header);
	parse_spec(task, len);
	DL_PREPEND(io->tasks, task);
	return task;
}

void
job_run(void *ctx, const at_claim_hash_t *id, const at_job_record_t *record)
{
	at_jobs_io_t *io = ctx;
	job_task_t *task = NULL;
	const char *body = NULL;
	size_t len = 0;
	json_t *header = job_parse_data(record, &body, &len);

	if (header != NULL && io->node->config != NULL)
		task = task_new(io, id, header, body, len);
	json_decref(header);
	if (task == NULL)
		at_jobs_retry(io->jobs, id);
	else if (task->spec.repeat == AT_REPEAT_ONCE)
		request_claim(task);
	else
		run_request(task);
}
