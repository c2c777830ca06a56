/*
 * service_times.h - how long backend servers take to read a prompt token, to
 * generate a token of a stream, and to run a request of a plain service.
 *
 * Times are passed in, in microseconds of a monotonic clock. Without an
 * observation the values are priors that hold for all servers.
 */
#ifndef ALMONDTHREAD_SERVICE_TIMES_H
#define ALMONDTHREAD_SERVICE_TIMES_H

#include "almondthread/site.h"

/* Age of a value that rests on no observation. */
#define AT_SERVICE_TIME_NO_AGE UINT64_MAX

typedef struct at_service_times at_service_times_t;

typedef struct at_service_time {
	uint64_t prompt_token_ns; /* to read a prompt token */
	uint64_t token_us;      /* to generate a token of each running stream */
	uint64_t plain_us;      /* to run a request of a plain service */
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

#endif
