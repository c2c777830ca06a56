/*
 * fault_fixture.h - a fleet for tests of requests under faults: the engine e1
 * with the model m1, the backend server s1 of the service "desk" and one
 * instance, n1. Routes:
 *
 *   GET /slots     repeatable, needs no key
 *   POST /charges  runs at most once, needs the key
 */
#ifndef ALMONDTHREAD_TESTS_FAULT_FIXTURE_H
#define ALMONDTHREAD_TESTS_FAULT_FIXTURE_H

#include "support/fixture.h"

#define FAULT_FIXTURE_CHAT_PATH "/v1/chat/completions"
#define FAULT_FIXTURE_CHAT "{\"model\":\"m1\",\"max_tokens\":8,\"messages\":[]}"
#define FAULT_FIXTURE_CHAT_STREAM                             \
	"{\"model\":\"m1\",\"max_tokens\":8,\"stream\":true," \
	"\"messages\":[]}"
#define FAULT_FIXTURE_NO_FAULTS                                            \
	"{\"crossed\":0,\"truncate_after\":0,\"shorten\":0,"               \
	"\"break_whole\":0,\"refuse\":0,\"repeat_refusal\":0,\"crash\":0," \
	"\"silent\":0,"                                                    \
	"\"lose_replies\":0,\"delay_ms\":0,\"token_us\":2000}"
#define FAULT_FIXTURE_FIRST_BYTE_MS \
	1000u /* first_byte_ms in the configuration */
#define FAULT_FIXTURE_CALL_TIMEOUT_MS 20000u

/*
 * fault_fixture_new() starts the fleet and waits until n1 is ready. Unless
 * relay is NULL, it connects n1 to s1 through a new relay, which the caller
 * deletes. The fleet is freed with fixture_delete().
 */
fixture_t *fault_fixture_new(standin_relay_t **relay);

/*
 * fault_fixture_send() starts a request with the key to n1; header is one more
 * header line or NULL. fault_fixture_call() also waits for the end; it fails
 * the test after FAULT_FIXTURE_CALL_TIMEOUT_MS. fault_fixture_is_done() is a
 * condition for fixture_run_until(); its argument is a fixture_response_t.
 */
void fault_fixture_send(fixture_t *fixture, fixture_response_t *response,
    const char *method, const char *path, const char *header, const char *body);
fixture_response_t fault_fixture_call(fixture_t *fixture, const char *method,
    const char *path, const char *header, const char *body);
int fault_fixture_is_done(void *response);

/* fault_fixture_get_counter() returns a counter of n1. */
uint64_t fault_fixture_get_counter(
    fixture_t *fixture, const char *name, const char *label, const char *value);

/* fault_fixture_get_engine_field() returns a number of e1's /v1/status. */
uint64_t fault_fixture_get_engine_field(fixture_t *fixture, const char *field);

/*
 * fault_fixture_count_executions() returns how many requests e1 and s1
 * executed.
 */
uint64_t fault_fixture_count_executions(fixture_t *fixture);

#endif
