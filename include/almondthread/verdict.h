/*
 * verdict.h - how a request ended, and why.
 *
 * Every attempt and every request ends with one verdict. Only
 * AT_VERDICT_NOT_RUN is reported to a caller as "not run", and only it
 * permits another attempt of a request that must not run twice.
 *
 * Each refusal and retry has one reason. A reason has a name (used in JSON
 * bodies and counter labels), an HTTP status and the verdict it proves.
 */
#ifndef ALMONDTHREAD_VERDICT_H
#define ALMONDTHREAD_VERDICT_H

typedef enum at_verdict {
	AT_VERDICT_NOT_RUN,      /* proved: no backend server started it */
	AT_VERDICT_MAY_HAVE_RUN, /* unknown */
	AT_VERDICT_RAN,          /* proved: a backend server responded */
	AT_VERDICT_COUNT
} at_verdict_t;

/* X(identifier, name, HTTP status, verdict, message for the caller) */
#define AT_REASON_LIST(X)                                                      \
	X(NONE, "none", 200, RAN, "")                                          \
	X(BAD_JSON, "bad_json", 400, NOT_RUN, "The body is not valid JSON.")   \
	X(MALFORMED, "malformed", 400, NOT_RUN,                                \
	    "The request is not valid HTTP/1.1.")                              \
	X(BAD_REQUEST, "bad_request", 400, NOT_RUN,                            \
	    "A field is missing or of the wrong type.")                        \
	X(MISSING_KEY, "missing_key", 401, NOT_RUN,                            \
	    "Send a key in 'Authorization: Bearer KEY'.")                      \
	X(UNKNOWN_KEY, "unknown_key", 401, NOT_RUN,                            \
	    "The key is unknown or was withdrawn.")                            \
	X(KEY_UNCHECKED, "key_unchecked", 503, NOT_RUN,                        \
	    "Keys cannot be checked here at the moment.")                      \
	X(NOT_PERMITTED, "not_permitted", 403, NOT_RUN,                        \
	    "The workspace may not use this model.")                           \
	X(UNKNOWN_MODEL, "unknown_model", 404, NOT_RUN,                        \
	    "No such model or adapter.")                                       \
	X(UNKNOWN_ROUTE, "unknown_route", 404, NOT_RUN, "No such path.")       \
	X(WRONG_METHOD, "wrong_method", 405, NOT_RUN,                          \
	    "The path does not take this method.")                             \
	X(BODY_TOO_LARGE, "body_too_large", 413, NOT_RUN,                      \
	    "The body is larger than is accepted.")                            \
	X(HEADER_TOO_LARGE, "header_too_large", 431, NOT_RUN,                  \
	    "The headers are larger than is accepted.")                        \
	X(BODY_TIMEOUT, "body_timeout", 408, NOT_RUN,                          \
	    "The body did not arrive in time.")                                \
	X(OVER_RATE, "over_rate", 429, NOT_RUN,                                \
	    "The workspace is over its rate.")                                 \
	X(OVER_BURST, "over_burst", 400, NOT_RUN,                              \
	    "The request needs more tokens than the burst.")                   \
	X(OVERLOAD, "overload", 503, NOT_RUN,                                  \
	    "The request cannot be answered in time.")                         \
	X(NO_MEMORY, "no_memory", 503, NOT_RUN,                                \
	    "The instance has no memory for the body.")                        \
	X(NO_CONNECTION, "no_connection", 503, NOT_RUN,                        \
	    "The instance has too many connections for the request.")          \
	X(NO_CONFIG, "no_config", 503, NOT_RUN,                                \
	    "No configuration has been received yet.")                         \
	X(NO_BACKEND, "no_backend", 503, NOT_RUN,                              \
	    "No backend server can take the request.")                         \
	X(SERVER_LIMIT, "server_limit", 503, NOT_RUN,                          \
	    "The backend servers have named limits, which are reached.")       \
	X(SERVER_PAUSE, "server_pause", 503, NOT_RUN,                          \
	    "The backend servers have asked for a pause.")                     \
	X(UNKNOWN_ORIGIN, "unknown_origin", 503, NOT_RUN,                      \
	    "It is not known which software version began the stream.")        \
	X(CONNECT_FAILED, "connect_failed", 502, NOT_RUN,                      \
	    "No connection to a backend server could be made.")                \
	X(REFUSED_BY_BACKEND, "refused_by_backend", 503, NOT_RUN,              \
	    "The backend server refused the request before running it.")       \
	X(STOPPING, "stopping", 503, NOT_RUN, "The instance is stopping.")     \
	X(CLAIM_UNAVAILABLE, "claim_unavailable", 503, NOT_RUN,                \
	    "The claim could not be recorded.")                                \
	X(CLAIM_MISMATCH, "claim_mismatch", 422, NOT_RUN,                      \
	    "The key was used before with another body.")                      \
	X(CLAIM_IN_FLIGHT, "claim_in_flight", 409, MAY_HAVE_RUN,               \
	    "A request with this key is in progress or its end is unknown.")   \
	X(JOB_UNAVAILABLE, "job_unavailable", 503, NOT_RUN,                    \
	    "The job could not be recorded or read.")                          \
	X(UNKNOWN_JOB, "unknown_job", 404, NOT_RUN, "No such job.")            \
	X(CRASHES_BACKEND, "crashes_backend", 422, NOT_RUN,                    \
	    "Requests like this one have crashed backend servers.")            \
	X(FIRST_BYTE_TIMEOUT, "first_byte_timeout", 504, MAY_HAVE_RUN,         \
	    "The backend server did not begin to answer in time.")             \
	X(IDLE_TIMEOUT, "idle_timeout", 504, MAY_HAVE_RUN,                     \
	    "The backend server went silent during its answer.")               \
	X(DEADLINE, "deadline", 504, MAY_HAVE_RUN, "The deadline has passed.") \
	X(BACKEND_RESET, "backend_reset", 502, MAY_HAVE_RUN,                   \
	    "The connection to the backend server was lost.")                  \
	X(BACKEND_FAILED, "backend_failed", 502, MAY_HAVE_RUN,                 \
	    "The backend server failed.")                                      \
	X(TRUNCATED, "truncated", 502, MAY_HAVE_RUN,                           \
	    "The answer ended before it was whole.")                           \
	X(CROSSED, "crossed", 502, MAY_HAVE_RUN,                               \
	    "The answer belongs to another request.")                          \
	X(RETRY_BUDGET, "retry_budget", 503, NOT_RUN,                          \
	    "Too many requests are being retried.")                            \
	X(CALLER_GONE, "caller_gone", 499, MAY_HAVE_RUN,                       \
	    "The caller closed its connection.")                               \
	X(INTERNAL, "internal", 500, MAY_HAVE_RUN, "Internal error.")

typedef enum at_reason {
#define AT_REASON_ENUM(id, name, status, verdict, text) AT_REASON_##id,
	AT_REASON_LIST(AT_REASON_ENUM)
#undef AT_REASON_ENUM
	AT_REASON_COUNT
} at_reason_t;

/* Names of verdicts, indexed by at_verdict_t. */
extern const char *const at_verdict_names[];

/* Names of reasons, indexed by at_reason_t. */
extern const char *const at_reason_names[];

/* at_reason_status() returns the documented HTTP status of a reason. */
int at_reason_status(at_reason_t reason);

/* at_reason_verdict() returns the verdict that a reason alone proves. */
at_verdict_t at_reason_verdict(at_reason_t reason);

/* at_reason_text() returns one sentence for the caller. */
const char *at_reason_text(at_reason_t reason);

#endif
