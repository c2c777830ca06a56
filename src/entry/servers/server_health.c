#include "entry/servers/server_health.h"

#include "almondthread/log.h"
#include "io/clock.h"

#define US_PER_MS 1000u

static void
note_pause(const at_attempt_event_t *event)
{
	uint32_t pause_ms = event->response->pause_ms;

	if (pause_ms == 0)
		return;
	at_server_note_pause(
	    event->server, at_clock_now_us() + (uint64_t)pause_ms * US_PER_MS);
	at_log(AT_LOG_INFO, "fleet", NULL,
	    "server wants no requests for some time server=%s pause_ms=%u%s",
	    event->server_id, pause_ms,
	    pause_ms >= AT_SERVER_PAUSE_MAX_MS ? " at_most=1" : "");
}

/* Only a successful response shows how long a request runs. */
static void
note_completed(const at_attempt_event_t *event, uint64_t now_us)
{
	uint64_t begin_us =
	    event->work->model == 0 ? event->sent_us : event->first_event_us;

	if (event->outcome == AT_OUTCOME_SUCCESS && event->is_begun)
		at_server_note_completed(event->server, event->work,
		    event->event_count, now_us - begin_us, now_us);
}

/* How fast a server is lastingly decides how many requests it gets. */
static void
log_speed(
    const at_fleet_t *fleet, const at_attempt_event_t *event, uint64_t now_us)
{
	uint32_t factor_milli;
	at_service_time_t time;

	if (!at_server_note_speed(event->server, now_us, &factor_milli))
		return;
	at_service_times_get(at_fleet_service_times(fleet),
	    event->work->service, 0, event->work->model, now_us, &time);
	at_log(AT_LOG_INFO, "fleet", NULL,
	    "server %s slower than the mean server=%s factor_milli=%u "
	    "event_us=%u plain_us=%u",
	    at_server_is_slow(event->server) ? "is" : "is no more",
	    event->server_id, factor_milli, (unsigned)time.event_us,
	    (unsigned)time.plain_us);
}

static void
notify(void *ctx, const at_attempt_event_t *event)
{
	at_fleet_t *fleet = ctx;

	switch (event->kind) {
	case AT_ATTEMPT_EVENT_SENT:
		at_server_note_sent(event->server, event->work, event->sent_us);
		log_speed(fleet, event, event->sent_us);
		break;
	case AT_ATTEMPT_EVENT_STATED:
		note_pause(event);
		break;
	case AT_ATTEMPT_EVENT_FIRST_EVENT:
		at_server_note_prompt(event->server, event->work,
		    event->elapsed_us, event->sent_us + event->elapsed_us);
		at_server_note_first_event(event->server, event->work,
		    event->predicted_us, event->elapsed_us);
		break;
	case AT_ATTEMPT_EVENT_GAPS:
		at_server_note_events(event->server, event->work,
		    event->gap_count, event->gap_us, at_clock_now_us());
		log_speed(fleet, event, at_clock_now_us());
		break;
	case AT_ATTEMPT_EVENT_REFUSED:
		if (event->is_misplaced && event->server != NULL)
			at_server_note_misplaced(
			    event->server, event->work, at_clock_now_us());
		break;
	case AT_ATTEMPT_EVENT_ENDED:
		note_completed(event, at_clock_now_us());
		at_fleet_note_ended(fleet, event->server, event->work,
		    event->had_event, event->outcome, at_clock_now_us());
		break;
	default:
		break;
	}
}

at_attempt_observer_t
at_server_health_observer(at_fleet_t *fleet)
{
	return (at_attempt_observer_t){notify, fleet};
}
