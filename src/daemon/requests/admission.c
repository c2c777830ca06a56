#include "daemon/requests/admission.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <utlist.h>

#include "daemon/limits/limits_io.h"
#include "io/clock.h"

#define HTTP_STATUS_REFUSED 400 /* lowest HTTP status of a refusal */
#define RETRY_INTERVAL_S 0.01   /* between attempts to admit waiting requests */

/* One request, from its debit to its settlement. */
typedef struct admission {
	struct admission *prev;
	struct admission *next;
	at_node_t *node;
	at_httpd_request_t *request;
	at_exchange_spec_t spec;
	at_name_t target;
	at_name_t workspace;
	uint64_t cost_tokens;
	uint64_t arrived_ms;
	at_debit_t *debit;
	at_admission_run_t run;
	uint64_t used_tokens;
	int is_ended; /* the exchange has ended; used_tokens is set */
} admission_t;

struct at_admissions {
	at_node_t *node;
	admission_t *waiting; /* list in order of arrival */
	ev_timer timer;
};

/* Returns the tokens that a complete response reports, or fallback. */
static uint64_t
reported_tokens(const at_exchange_end_t *end, uint64_t fallback)
{
	json_t *root;
	json_t *total;

	if (end->body == NULL)
		return fallback;
	root = json_loadb(end->body, end->body_len, 0, NULL);
	total = json_object_get(json_object_get(root, "usage"), "total_tokens");
	if (json_is_integer(total) && json_integer_value(total) >= 0)
		fallback = (uint64_t)json_integer_value(total);
	json_decref(root);
	return fallback;
}

static void
on_done(void *ctx, const at_exchange_end_t *end)
{
	admission_t *admission = ctx;

	admission->is_ended = 1;
	if (end->verdict != AT_VERDICT_NOT_RUN)
		admission->used_tokens =
		    reported_tokens(end, admission->cost_tokens);
}

/* Settles the debit when the request has ended. */
static void
finalize(void *ctx, int status)
{
	admission_t *admission = ctx;

	if (admission->debit != NULL) {
		if (!admission->is_ended && status < HTTP_STATUS_REFUSED)
			admission->used_tokens = admission->cost_tokens;
		at_counters_add(admission->node->counters,
		    "tokens_settled_total", "workspace",
		    admission->workspace.text, admission->used_tokens);
		at_limits_settle(admission->node->limits,
		    admission->workspace.text, admission->debit,
		    admission->used_tokens);
	}
	free(admission);
}

/* Runs or refuses the request; returns 0 if it must wait. */
static int
try_admit(admission_t *admission)
{
	uint32_t retry_after_ms;
	at_reason_t reason = AT_REASON_OVER_BURST;
	at_admit_t admit =
	    at_limits_admit(admission->node->limits, admission->workspace.text,
		admission->cost_tokens, &admission->debit, &retry_after_ms);

	if (admit == AT_ADMIT_OK) {
		admission->run(
		    admission->node, admission->request, &admission->spec);
		return 1;
	}
	if (admit == AT_ADMIT_INSUFFICIENT) {
		if (at_clock_now_ms() <
		    admission->arrived_ms + AT_ADMISSION_WAIT_MAX_MS)
			return 0;
		reason = AT_REASON_OVER_RATE;
	} else {
		retry_after_ms = 0;
	}
	at_refuse(admission->node, admission->request, reason,
	    AT_VERDICT_NOT_RUN, retry_after_ms);
	return 1;
}

static void
on_end(void *ctx, int caller_closed)
{
	admission_t *admission = ctx;

	(void)caller_closed;
	DL_DELETE(admission->node->admissions->waiting, admission);
	at_counters_add_refusal(
	    admission->node->counters, AT_REASON_CALLER_GONE);
}

static void
wait_for_tokens(admission_t *admission)
{
	DL_APPEND(admission->node->admissions->waiting, admission);
	at_httpd_set_end_handler(admission->request, on_end, admission);
}

static void
retry_all(void *ctx)
{
	at_admissions_t *admissions = ctx;
	admission_t *waiting = admissions->waiting;
	admission_t *admission;

	admissions->waiting = NULL;
	while ((admission = waiting) != NULL) {
		DL_DELETE(waiting, admission);
		at_httpd_set_end_handler(admission->request, NULL, NULL);
		if (!try_admit(admission))
			wait_for_tokens(admission);
	}
	if (admissions->waiting == NULL)
		ev_timer_stop(admissions->node->loop, &admissions->timer);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	retry_all(timer->data);
}

at_admissions_t *
at_admissions_new(at_node_t *node)
{
	at_admissions_t *admissions = calloc(1, sizeof(*admissions));

	if (admissions == NULL)
		return NULL;
	admissions->node = node;
	ev_timer_init(
	    &admissions->timer, on_timer, RETRY_INTERVAL_S, RETRY_INTERVAL_S);
	admissions->timer.data = admissions;
	at_limits_set_changed(node->limits, retry_all, admissions);
	return admissions;
}

void
at_admissions_delete(at_admissions_t *admissions)
{
	if (admissions == NULL)
		return;
	ev_timer_stop(admissions->node->loop, &admissions->timer);
	free(admissions);
}

void
at_admission_start(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, uint64_t cost_tokens,
    at_admission_run_t run)
{
	admission_t *admission;

	if (spec->workspace[0] == '\0' || cost_tokens == 0) {
		run(node, request, spec);
		return;
	}
	admission = calloc(1, sizeof(*admission));
	if (admission == NULL) {
		at_refuse(node, request, AT_REASON_INTERNAL, AT_VERDICT_NOT_RUN,
		    AT_MS_PER_S);
		return;
	}
	admission->node = node;
	admission->request = request;
	admission->spec = *spec;
	(void)at_name_set(&admission->target, spec->target);
	(void)at_name_set(&admission->workspace, spec->workspace);
	admission->spec.target = admission->target.text;
	admission->spec.workspace = admission->workspace.text;
	admission->cost_tokens = cost_tokens;
	admission->arrived_ms = at_clock_now_ms();
	admission->run = run;
	/*
	 * Only engines report usage. Their exchanges end no later than their
	 * callers' requests, so the admission still exists in on_done().
	 */
	if (spec->kind == AT_INSTANCE_ENGINE) {
		admission->spec.on_done = on_done;
		admission->spec.done_ctx = admission;
	}
	at_httpd_set_finalizer(request, finalize, admission);
	if (try_admit(admission))
		return;
	wait_for_tokens(admission);
	ev_timer_again(node->loop, &node->admissions->timer);
}
