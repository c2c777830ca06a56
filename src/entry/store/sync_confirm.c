/*
 * sync_confirm.c - evidence that the list of backend servers is complete up to
 * a moment: the platform has responded to a question that was sent after it.
 * Confirmations of the watches and of the reader cover earlier moments only, so
 * that an instance that has just been cut off passes for one that is up to
 * date.
 *
 * A question is a watch that responds at once, from the version up to which all
 * changes are known: it also brings servers that have come and gone.
 */
#include <inttypes.h>

#include "almondthread/log.h"
#include "entry/store/sync_impl.h"
#include "io/clock.h"

/* Wait of a watch that only asks for changes. */
#define QUESTION_WAIT_MS 1u

static void send_due(at_sync_t *sync);

static uint32_t
count_instances(const at_sync_t *sync)
{
	return at_roster_present_count(sync->deps.roster);
}

static void
end_question(question_t *question, int is_confirmed, const char *result)
{
	at_sync_t *sync = question->sync;
	uint64_t now_ms = at_clock_now_ms();

	at_confirmation_end(
	    &sync->confirmation, question->number, is_confirmed, now_ms);
	at_counters_add(
	    sync->deps.counters, "list_questions_total", "result", result, 1);
	if (!is_confirmed)
		at_log(AT_LOG_INFO, "platform", NULL,
		    "list not confirmed question=%" PRIu64
		    " result=%s took_ms=%" PRIu64,
		    question->number, result, now_ms - question->sent_ms);
}

static void
on_answer(void *ctx, const at_objects_page_t *page)
{
	question_t *question = ctx;
	at_sync_t *sync = question->sync;
	int is_confirmed;

	question->call = NULL;
	is_confirmed = sync_take_check(
	    &sync->servers, question->since, question->sent_ms, page);
	sync_note_servers_known(sync);
	end_question(question, is_confirmed,
	    page->code == AT_OBJECTS_OK && !is_confirmed
		? "outdated"
		: at_objects_code_names[page->code]);
	sync->deps.on_list_asked(sync->deps.ctx);
	send_due(sync);
}

static void
give_up_late(at_sync_t *sync, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < AT_CONFIRMATION_OPEN_MAX; i++) {
		question_t *question = &sync->questions[i];

		if (question->call == NULL ||
		    now_ms < question->sent_ms + AT_CONFIRMATION_TIMEOUT_MS)
			continue;
		sync->deps.objects.cancel(
		    sync->deps.objects.impl, question->call);
		question->call = NULL;
		end_question(question, 0, "late");
	}
}

static void
set_timer(at_sync_t *sync, uint64_t now_ms)
{
	uint64_t due_ms =
	    at_confirmation_due_ms(&sync->confirmation, count_instances(sync));
	size_t i;

	for (i = 0; i < AT_CONFIRMATION_OPEN_MAX; i++) {
		const question_t *question = &sync->questions[i];

		if (question->call != NULL &&
		    due_ms > question->sent_ms + AT_CONFIRMATION_TIMEOUT_MS)
			due_ms = question->sent_ms + AT_CONFIRMATION_TIMEOUT_MS;
	}
	ev_timer_stop(sync->deps.loop, &sync->question_timer);
	if (due_ms == UINT64_MAX)
		return;
	ev_timer_set(&sync->question_timer,
	    due_ms > now_ms ? (double)(due_ms - now_ms) / AT_MS_PER_S : 0., 0.);
	ev_timer_start(sync->deps.loop, &sync->question_timer);
}

static question_t *
find_free(at_sync_t *sync)
{
	size_t i;

	for (i = 0; i < AT_CONFIRMATION_OPEN_MAX; i++) {
		if (sync->questions[i].call == NULL)
			return &sync->questions[i];
	}
	return NULL;
}

/* Sends the question that is due, if any. */
static void
send_due(at_sync_t *sync)
{
	uint64_t now_ms = at_clock_now_ms();
	question_t *question = find_free(sync);
	uint64_t number = 0;

	/* A list that is being read is not a version to ask from. */
	if (question != NULL && !at_mirror_is_listing(sync->servers.mirror))
		number = at_confirmation_next(
		    &sync->confirmation, count_instances(sync), now_ms);
	if (number != 0) {
		question->sync = sync;
		question->number = number;
		question->sent_ms = now_ms;
		question->since = at_mirror_since(sync->servers.mirror);
		question->call = sync->deps.objects.watch(
		    sync->deps.objects.impl, sync->servers.kind,
		    question->since, QUESTION_WAIT_MS, on_answer, question);
		if (question->call == NULL)
			end_question(question, 0, "unsent");
	}
	set_timer(sync, now_ms);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_sync_t *sync = timer->data;

	(void)loop;
	(void)events;
	give_up_late(sync, at_clock_now_ms());
	send_due(sync);
}

uint64_t
at_sync_ask(at_sync_t *sync)
{
	uint64_t ticket = at_confirmation_take(&sync->confirmation);

	/* In the next turn of the loop, with those who ask in this one. */
	set_timer(sync, at_clock_now_ms());
	return ticket;
}

int
at_sync_has_answer(const at_sync_t *sync, uint64_t ticket)
{
	return at_confirmation_covers(&sync->confirmation, ticket);
}

int
at_sync_is_unanswered(const at_sync_t *sync)
{
	return at_confirmation_is_failing(
	    &sync->confirmation, at_clock_now_ms());
}

void
sync_confirm_init(at_sync_t *sync)
{
	ev_timer_init(&sync->question_timer, on_timer, 0., 0.);
	sync->question_timer.data = sync;
}

void
sync_confirm_cancel(at_sync_t *sync)
{
	size_t i;

	ev_timer_stop(sync->deps.loop, &sync->question_timer);
	for (i = 0; i < AT_CONFIRMATION_OPEN_MAX; i++) {
		if (sync->questions[i].call != NULL)
			sync->deps.objects.cancel(
			    sync->deps.objects.impl, sync->questions[i].call);
		sync->questions[i].call = NULL;
	}
}
