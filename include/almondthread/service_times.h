/*
 * service_times.h - how long backend servers take to read a prompt token, to
 * make an event or a token of a stream, and to run a request of a plain
 * service.
 *
 * The time of a model (or of a plain service) is learned over all servers, and
 * the factor of each server by which it is slower than the mean of its service.
 * What this instance observes of a server is kept apart from what other
 * instances report of it, so that each observation counts once. Observations
 * lose weight with age; without any, all servers have the same times, which are
 * priors.
 *
 * Times are passed in, in microseconds of a monotonic clock.
 */
#ifndef ALMONDTHREAD_SERVICE_TIMES_H
#define ALMONDTHREAD_SERVICE_TIMES_H

#include "almondthread/site.h"

/* Age of a value that rests on no observation. */
#define AT_SERVICE_TIME_NO_AGE UINT64_MAX
/* The factor of a server that is as fast as the mean. */
#define AT_FACTOR_MEAN_MILLI 1000u

typedef struct at_service_times at_service_times_t;
/* What is known of one server; it belongs to the times. */
typedef struct at_speed at_speed_t;

typedef struct at_service_time {
	uint64_t prompt_token_ns; /* to read a prompt token */
	uint64_t token_us;        /* to generate a token that was expected */
	uint64_t event_us; /* between two events of a stream; 0: not known */
	uint64_t plain_us; /* to run a request of a plain service */
	uint32_t factor_milli;  /* of the server; the mean is 1,000 */
	uint32_t error_percent; /* standard deviation, as part of the value */
	uint64_t age_us;        /* of the newest observation */
} at_service_time_t;

/* at_service_times_new() returns NULL if out of memory. */
at_service_times_t *at_service_times_new(void);
/* at_service_times_delete() does nothing for NULL. */
void at_service_times_delete(at_service_times_t *times);

/*
 * at_service_times_get() writes the times of a service's server for a model.
 * server 0 stands for the mean over the servers of the service, model 0 for a
 * plain service.
 */
void at_service_times_get(const at_service_times_t *times, at_tag_t service,
    at_tag_t server, at_tag_t model, uint64_t now_us, at_service_time_t *time);

/*
 * at_service_times_add() returns the speed of a server, or NULL if out of
 * memory. It is valid until at_service_times_remove(), which like the functions
 * below does nothing for a NULL speed. at_speed_reset() discards what is known,
 * for a new incarnation of the server.
 */
at_speed_t *at_service_times_add(
    at_service_times_t *times, at_tag_t service, at_tag_t server);
void at_service_times_remove(at_service_times_t *times, at_speed_t *speed);
void at_speed_reset(at_speed_t *speed);

/*
 * Times between the events of one stream, collected to be observed together.
 * at_event_gaps_add() takes the time of an event. It returns 0, or the number
 * of gaps that are complete, and writes their usual length: the longest, which
 * a prompt read meanwhile has lengthened, and the shortest, which an event that
 * was delivered late has shortened, do not count. at_event_gaps_reset() begins
 * again after an interruption that was not the server's.
 */
#define AT_EVENT_GAPS 6u
typedef struct at_event_gaps {
	uint64_t last_us; /* the last event; 0: none */
	uint64_t begin_us;
	uint32_t gaps_us[AT_EVENT_GAPS];
	uint32_t count;
} at_event_gaps_t;
uint32_t at_event_gaps_add(
    at_event_gaps_t *gaps, uint64_t now_us, uint32_t *usual_us);
void at_event_gaps_reset(at_event_gaps_t *gaps);

/*
 * Observations. note_events: a number of gaps between events of one stream and
 * their usual length. note_stream: a complete stream, by the tokens that were
 * expected of it. note_prompt: the time to the first event of a prompt at a
 * server that had no other prompt to read. note_plain: a successful request of
 * a plain service, sent when the server had a slot for it.
 */
void at_speed_note_events(at_speed_t *speed, at_tag_t model, uint32_t count,
    uint32_t usual_us, uint64_t now_us);
void at_speed_note_stream(at_speed_t *speed, at_tag_t model, uint32_t tokens,
    uint64_t run_us, uint64_t now_us);
void at_speed_note_prompt(
    at_speed_t *speed, uint32_t tokens, uint64_t read_us, uint64_t now_us);
void at_speed_note_plain(at_speed_t *speed, uint64_t run_us, uint64_t now_us);

/*
 * at_speed_factor_milli() returns the time that a server takes in thousandths
 * of the mean, with what was observed in the last second; 1,000 if it does not
 * differ from the mean by more than the estimate's error.
 */
uint32_t at_speed_factor_milli(at_speed_t *speed, uint64_t now_us);

/*
 * at_speed_lasting_milli() returns the same without the recent window and with
 * small differences from the mean.
 */
uint32_t at_speed_lasting_milli(at_speed_t *speed, uint64_t now_us);

/*
 * Reports, 32 bits for each server. at_speed_report() returns what this
 * instance has observed, or 0 if that is nothing within
 * AT_SPEED_REPORTED_US. at_speed_apply() takes what another instance, or a data
 * centre's summary, has reported. at_speed_sum() adds this instance's
 * observations and those of the members.
 */
#define AT_SPEED_REPORTED_US 600000u
uint32_t at_speed_report(const at_speed_t *speed, uint64_t now_us);
void at_speed_apply(
    at_speed_t *speed, at_tag_t instance, uint32_t report, uint64_t now_us);
uint32_t at_speed_sum(const at_speed_t *speed,
    int (*is_member)(void *ctx, at_tag_t instance), void *ctx, uint64_t now_us);

#endif
